// Package lease grants each duty to at most one process at a time, by leases with fencing tokens.
//
// The vocabulary is that of Chubby and of Kubernetes' leader election. A [Duty] is the name of a lock. A
// [Grant] is a lease on it: the holder, and the fencing token under which the holder acts. [Timing.Duration] is the
// lease duration. [Timing.HolderDuration] is the renew deadline: a holder that has not renewed by then stops acting.
// A holder requests a renewal every third of that time.
//
// Four types together ensure that only one holder of a duty acts, and that actions of earlier holders are rejected:
//
//   - [Table] is the state that the control group agrees on. It stores no times. Each token is granted once, and
//     tokens only rise.
//   - [ExpiryClock] measures time at the leader. It expires a lease that was not renewed for the lease duration.
//   - [Holder] measures time at the holder, by the holder's own monotonic clock. It stops acting at the renew
//     deadline, which counts from when it sent the request. While the rates of both clocks stay within
//     Timing.MaxClockDrift, the deadline passes before the lease expires, so two holders are never active at once.
//   - [Fence] protects the receiver of a holder's actions. No clock helps if a process is suspended between
//     checking the deadline and acting; the receiver therefore rejects a token below the highest that it has seen.
//
// See Burrows, "The Chubby lock service", section 2.4, and Kleppmann, "How to do distributed locking".
//
// The package is pure: it has no input or output and no goroutines, and takes the time as an argument. It must not
// depend on how agreement is reached or how requests are transported. Package consensus uses Table and ExpiryClock,
// package client uses Holder. No value of the package may be used from two goroutines at once.
package lease
