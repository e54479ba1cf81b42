// Package loadcmd is the command `reelctl load`.
package loadcmd
