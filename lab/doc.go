// Package lab measures detection policies under load and faults.
//
// It runs the real decision code of many instances against a fake clock and
// small fakes at the interfaces: callers with a rate, targets with slots and
// a schedule of health, and messages between instances that arrive after a
// fixed delay or not at all. It models no machines, no networks and no queues
// between nodes; a target's own short backlog is the only queue.
//
// The parts are:
//
//   - Service: one of the users' services, with its targets, slots and times;
//   - Fault: what goes wrong in a run, as a schedule of each target's health
//     and of the links between instances; one file for each fault;
//   - Policy: what an instance decides from the results of its tries; the
//     product's own policies and the baselines are adapted to it;
//   - Run: one run of a service under a fault and a policy, with a seed;
//   - Measures: what a run, or many runs of different seeds, came to.
//
// A run is a function of its Config: the same seed gives the same measures.
// Two policies under one seed get the same requests and the same faults.
package lab
