// Package chaos draws schedules of faults between processes: links cut, slowed or reset, processes
// paused, killed and started again. A schedule is determined by its kind, its seed and the size of what it
// is played on: equal arguments give equal schedules.
//
// The package owns the form of stored schedules. It does no I/O, and must know neither processes nor sockets:
// loadtest plays the schedules, and piernotch-lab chaos draws, shrinks and stores them. Its functions keep no
// state and may be called from any goroutine.
package chaos
