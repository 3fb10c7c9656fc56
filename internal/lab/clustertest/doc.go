// Package clustertest runs a control group of real processes under the fault schedules of package
// clustersim: voters with stores on disk, holders that act under their duties, and a fault proxy in
// every link between them.
//
// The harness starts, suspends, kills and restarts the processes, and breaks links. Holders report every act and every
// call with a final response to the harness over TCP. From these reports, the harness finds a token used by two
// holders, overlapping uses of two tokens, and a history of calls that is not linearizable. It also checks
// that every duty has a lease holder at the end. The harness stands for the receivers of a schedule, and does not
// fail.
//
// Callers are the cluster commands of piernotch-lab: "processes" runs schedules, "times" measures failovers, and
// "hold" is the program of the holder processes.
package clustertest
