// Package experiment measures how a fleet of real processes detects gray
// targets: how long a sick target keeps receiving work, which healthy targets
// are set aside, and what callers get meanwhile.
//
// A run sends a steady load, turns a target sick on command and reads, from
// the targets themselves, when work came to them; the ejections come from
// each instance's status page. It says nothing of machines or networks: all
// processes share one machine, so times include what its other work costs.
//
// docs/TESTING.md gives the command.
package experiment
