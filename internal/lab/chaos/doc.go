// Package chaos draws schedules of faults between processes: links are cut, slowed or reset; processes are
// paused, killed and started again. The kind, the seed and the size of the run determine a schedule: equal
// arguments give equal schedules.
//
// The package owns the format of stored schedules. It does no I/O, and must not depend on processes or sockets:
// loadtest plays the schedules, and piernotch-lab chaos draws, shrinks and stores them. The functions keep no
// state and may be called from any goroutine.
package chaos
