// Package chaos draws schedules of faults between processes: links cut, slowed or reset, processes
// paused, killed and started again. A schedule follows from its kind, its seed and the size of what it is
// played on: equal arguments give equal schedules.
//
// The package does no I/O and knows neither processes nor sockets: loadtest plays the schedules, and
// piernotch-lab chaos draws, shrinks and stores them. Its functions keep no state and may be called from
// any goroutine.
package chaos
