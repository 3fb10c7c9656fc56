// Package lease grants each duty to at most one process at a time, by leases with fencing tokens.
//
// The vocabulary is that of Chubby and of Kubernetes' leader election. A [Duty] is the name of a lock. A
// [Grant] is a lease on it: the holder, and the token under which the holder acts. [Timing.Duration] is the lease
// duration, [Timing.HolderDuration] the renew deadline: a holder that has not renewed by then stops acting. It
// asks for renewals three times as often.
//
// Four parts keep one promise:
//
//   - [Table] is what the control group agrees on. It holds no time: a token is granted once, and tokens only
//     rise.
//   - [ExpiryClock] is the leader's side of time: it expires a lease that was not renewed for the lease
//     duration.
//   - [Holder] is the other side's: it stops at the renew deadline, by its own monotonic clock, counted from
//     when it sent the request. While the rates of both clocks stay within Timing.MaxClockDrift, the deadline
//     passes before the lease expires, so two holders are never active at once.
//   - [Fence] protects whoever receives the acts. A process that was suspended between its check of the clock
//     and its act is beyond any clock; the receiver rejects a token below one that it has seen.
//
// See Burrows, "The Chubby lock service", section 2.4, and Kleppmann, "How to do distributed locking".
//
// The package is pure: no input or output, no goroutines, the clock is an argument. It must not know how
// agreement is reached or how requests travel. Package consensus uses Table and ExpiryClock, package client uses
// Holder. Nothing in it may be used from two goroutines at once.
package lease
