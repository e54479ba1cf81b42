// Package losses sums up from instances' log files where requests were lost: by
// service, class and moment, and by the cause that decided each.
//
// Beside the requests it states, by service, for how long sick targets went on getting
// ordinary work (detection time) and how many targets were set aside while their work
// went well (false ejections), and why connections to targets were opened.
//
// It reads what the instances wrote and nothing else: a request that was lost with a
// process is not in it.
package losses
