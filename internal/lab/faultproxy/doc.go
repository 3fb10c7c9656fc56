// Package faultproxy stands between processes on loopback: each link from one process to another goes
// through a proxy that can cut it, one way or both, silently or with resets, and delay, throttle and heal
// it. The faults of a link are set from outside, at times that a seeded schedule draws; the random
// numbers of a link (its jitter) come from the same seed.
//
// TCP is carried byte for byte in order: data that a short silent cut delays is delivered when the link
// heals, as retransmission would; connections that were under a long one are reset then. A connection
// that is opened under a silent cut is accepted and then carries nothing: loopback cannot lose the first
// packet, so this is a half-open connection and not one that is never established.
//
// The package owns the proxies and their connections. It must not know what the processes are or send.
// Schedules are drawn by chaos and clustersim, and played by loadtest and clustertest, which call it. All
// exported methods may be called from any goroutine.
package faultproxy
