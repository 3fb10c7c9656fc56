// Package clustersim runs a control group in simulated time under a schedule of faults: voters that run
// the real consensus on simulated disks, clients that acquire duties and act under them, and receivers that
// fence those acts by their tokens. One seed determines the schedule and everything that follows from it.
//
// The checks do not rely on the group: they know true time, see every act, and read the history of calls
// as the clients saw it. They look for two holders of one duty at once, acts under an older token after one
// under a newer, a token used by two clients, a history of calls that is not linearizable, and a duty
// that has no lease holder long after the last fault.
//
// The package owns the model of processes, clocks, disks and network. It must not use sockets, files or the
// real clock. Callers are piernotch-lab's cluster commands and package clustertest, which plays the same
// schedules on real processes.
//
// A build with the tag "planted" can have faults in the group that the checks have to find. They are listed in
// package failpoint, and are planted in files *_planted.go; seams.go has the correct steps that those replace.
package clustersim
