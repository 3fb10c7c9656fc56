package simulation

import (
	"math/rand/v2"
	"time"
)

// mix hashes x with the finalizer of MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Salts separate hashes that are used for different purposes. Changing a salt changes every run.
const (
	saltServerModel uint64 = 0x5e // seeds of server models
	saltServerID    uint64 = 0x1d // IDs of servers
	saltAttempt     uint64 = 77   // keys of attempts
)

// goldenRatio is 2^64 divided by the golden ratio: it spreads consecutive numbers over all bits.
const goldenRatio uint64 = 0x9e3779b97f4a7c15

// Concerns separate the hashed random numbers that are drawn for one key.
const (
	concernDelay       uint64 = iota + 1 // network delay of an attempt or health check
	concernWork                          // variation of an attempt's work
	concernError                         // whether the response of a server is an error
	concernBackoff                       // a client's backoff, and whether it honours Retry-After
	concernBalancer                      // which balancer a client reaches
	concernStart                         // seed of a balancer's process
	concernPush                          // delay of a pushed endpoint list
	concernClientDelay                   // network delay between client and balancer
	concernCorrupt                       // whether a response comes back corrupt
	concernDisconnect  = concernBalancer + 100
)

// randFor returns a generator seeded by a key, a concern and the run's seed, valid until the next call.
func (w *World) randFor(key, concern uint64) *rand.Rand {
	w.pcg.Seed(key, concern^w.realization.Seed)
	return w.hashedRand
}

// networkDelay returns the one-way delay of a message, with jitter, in whole microseconds.
func (w *World) networkDelay(base time.Duration, key, concern uint64) time.Duration {
	delay := float64(base) * (1 + w.realization.Jitter*w.randFor(key, concern).Float64())
	return time.Duration(delay) / time.Microsecond * time.Microsecond
}
