// Package watch decides for the shared watch of discovery which balancer polls discovery now and which events
// each balancer applies. It is pure: the clock is an argument, and it does not read the endpoint lists, which
// are opaque bytes.
//
// One balancer, the holder of the watch's duty, polls discovery and publishes the results (Holder). The group's
// leader keeps them in an EventLog, from which it serves members that connect or have missed events. All other
// balancers are followers (Follower). A follower that receives nothing from a holder for Timing.HeartbeatTimeout,
// plus a random time below Timing.TimeoutJitter, polls discovery itself until it receives an event again. Thus
// every balancer polls for itself if the group is unreachable or the holder is slow or stopped. The jitter
// avoids a thundering herd of followers.
//
// Nothing in this package is safe for concurrent use. Its callers, the client and the voter, synchronize the calls.
package watch
