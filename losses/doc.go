// Package losses summarizes lost requests from instances' log files: by service,
// class and time, and by the cause that decided each.
//
// For each service it also reports how long unhealthy targets kept receiving
// ordinary requests (detection time), how many targets were ejected while they
// served their requests (false ejections), and why connections to targets were opened.
//
// Its only source is the log lines: a request that was lost because its instance's
// process ended is not counted.
package losses
