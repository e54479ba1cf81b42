// Package operatecmd holds the commands `reelctl operations`: they list the
// operations whose outcome is unknown and settle them. The commands work on
// the platform's log alone, so they need no running instance.
package operatecmd
