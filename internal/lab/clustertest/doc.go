// Package clustertest runs a control group of real processes under the fault schedules of package
// clustersim: voters with stores on disk, holders that act under their duties, and a fault proxy in
// every link between them.
//
// The harness starts, suspends, kills and restarts the processes, and breaks links. Holders report every
// act and every call to it over TCP. Its checks know only these reports: a token used by two
// holders, holders whose times under their tokens overlap, a history of calls that is not linearizable, and a duty
// that has no lease holder at the end. The receivers of a schedule are the harness itself, which does not fail.
//
// Callers are the cluster commands of piernotch-lab: "processes" runs schedules, "times" measures failovers, and the
// holder processes are its command "hold".
package clustertest
