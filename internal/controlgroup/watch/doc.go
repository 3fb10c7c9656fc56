// Package watch has the decisions of the shared watch of discovery: which balancer polls discovery now, and
// which events each applies. It is pure: the clock is an argument, and the endpoint lists are bytes that
// it does not read.
//
// One balancer, the holder of the watch's duty, polls discovery and publishes what it gets (Holder). The
// leader of the group keeps what was published in an EventLog, from which it serves members that
// connect or have missed events. All others are followers (Follower). A follower that receives nothing from a
// holder for Timing.HeartbeatTimeout, and a random time of up to Timing.TimeoutJitter more, polls discovery
// itself until it receives something again. So without the group, or with a holder that is slow or
// stopped, every balancer polls for itself, and they do not all begin at the same moment.
//
// Callers are the client and the voter. Nothing in this package is safe for concurrent use: they call it
// under their own locks.
package watch
