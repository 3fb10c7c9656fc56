package soak

import (
	"math/rand/v2"
	"syscall"
	"time"

	"piernotch/internal/lab/chaos"
	"piernotch/internal/lab/scenario"
	"piernotch/internal/lab/syscallfault"
)

const (
	maxSystemCallFaults   = 3
	minSystemCallFaultFor = 50 * time.Millisecond
	maxSystemCallFaultFor = 300 * time.Millisecond
)

// systemCallErrors are the ways in which a call may fail without the loss of a request. Errors that end a connection
// are played on those to servers alone: an error on a client's connection is the loss of its request.
var systemCallErrors = []struct {
	call   syscallfault.Call
	side   syscallfault.Side
	errors []syscall.Errno
}{
	{syscallfault.Accept, syscallfault.AnySide, []syscall.Errno{
		syscall.EINTR, syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	}},
	{syscallfault.Socket, syscallfault.AnySide, []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	}},
	{syscallfault.Connect, syscallfault.AnySide, []syscall.Errno{
		syscall.EINTR, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ETIMEDOUT,
		syscall.ECONNREFUSED,
	}},
	{syscallfault.SetSocketOption, syscallfault.AnySide, []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM}},
	{syscallfault.Duplicate, syscallfault.AnySide, []syscall.Errno{syscall.EMFILE, syscall.ENOMEM}},
	{syscallfault.Read, syscallfault.AnySide, []syscall.Errno{syscall.EINTR, syscall.EAGAIN, syscall.ENOMEM}},
	{syscallfault.Read, syscallfault.Outgoing, []syscall.Errno{syscall.ECONNRESET, syscall.ETIMEDOUT}},
	{syscallfault.Write, syscallfault.AnySide, []syscall.Errno{syscall.EINTR, syscall.EAGAIN}},
	{syscallfault.Write, syscallfault.Outgoing, []syscall.Errno{syscall.ECONNRESET, syscall.EPIPE, syscall.ENOBUFS}},
	{syscallfault.PollWait, syscallfault.AnySide, []syscall.Errno{syscall.EINTR}},
}

// drawSystemCalls draws the system calls that fail, in half of the runs. It has a stream of its own, so that the other
// draws of a seed do not depend on it. Times are since the start of each process.
func drawSystemCalls(seed uint64, length time.Duration) syscallfault.Schedule {
	rng := scenario.Stream(seed, "soak system calls")
	schedule := syscallfault.Schedule{Seed: seed}
	if rng.IntN(2) == 0 {
		return schedule
	}
	for range 1 + rng.IntN(maxSystemCallFaults) {
		schedule.Faults = append(schedule.Faults, drawSystemCallFault(rng, length))
	}
	return schedule
}

// drawSystemCallFault draws one fault: a share of the calls fails for a moment, or calls transfer one byte for longer.
func drawSystemCallFault(rng *rand.Rand, length time.Duration) syscallfault.Fault {
	const shortTransfers = 4 // one of so many faults
	latest := length - chaos.RecoveryTime
	from := time.Second + time.Duration(rng.Int64N(int64(latest-time.Second)))
	if rng.IntN(shortTransfers) == 0 {
		call := []syscallfault.Call{syscallfault.Read, syscallfault.Write}[rng.IntN(2)]
		return syscallfault.Fault{Call: call, OneByte: true, Share: 0.3, From: from, Until: latest + time.Second}
	}
	drawn := systemCallErrors[rng.IntN(len(systemCallErrors))]
	lasts := minSystemCallFaultFor + time.Duration(rng.Int64N(int64(maxSystemCallFaultFor-minSystemCallFaultFor)))
	return syscallfault.Fault{
		Call:  drawn.call,
		Error: drawn.errors[rng.IntN(len(drawn.errors))],
		Side:  drawn.side,
		Share: 0.1 + 0.9*rng.Float64(),
		From:  from,
		Until: from + lasts,
	}
}
