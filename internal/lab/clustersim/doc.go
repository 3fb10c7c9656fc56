// Package clustersim runs a control group in simulated time under a schedule of faults. Voters run the real
// consensus on simulated disks, clients acquire duties and act under them, and receivers fence those acts by their
// tokens. One seed determines the schedule and the whole run.
//
// The checks do not rely on the group: they know true time, see every act, and read the history of calls as the
// clients saw it. They report two holders of one duty at once, an act under an older token after an act under a newer
// one, a token used by two clients, a history of calls that is not linearizable, and a duty without a lease holder at
// the end of QuietPeriod.
//
// The package owns the model of processes, clocks, disks and network. It must not use sockets, files or the
// real clock. Callers are piernotch-lab's cluster commands and package clustertest, which plays the same
// schedules on real processes.
//
// A build with the tag "planted" can enable faults in the group, which the checks must find. Package failpoint lists
// the faults, and files *_planted.go contain them; seams.go has the correct steps that they replace.
package clustersim
