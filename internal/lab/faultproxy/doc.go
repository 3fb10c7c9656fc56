// Package faultproxy injects faults into TCP links between processes on loopback. Each link from one process to
// another goes through a proxy that can cut the link, in one direction or both, silently or with resets, and can delay,
// throttle and heal it. The caller sets the faults, at the times of a seeded schedule. The jitter of a link is drawn
// from the seed of the network.
//
// A proxy delivers bytes in order. Data that a short silent cut delays is delivered when the link heals, as TCP's
// retransmission would do. A long silent cut resets the link's connections when the link heals. A connection that is
// opened under a silent cut is accepted and then carries nothing: loopback cannot lose the SYN packet, so the
// connection is half-open rather than never established.
//
// The package owns the proxies and their connections. It must not depend on what the processes are or send. Its
// callers are loadtest and clustertest, which play the schedules of chaos and clustersim. All exported methods may
// be called from any goroutine.
package faultproxy
