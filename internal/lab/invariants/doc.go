// Package invariants checks the rules of balancing against observations of clients, servers and service
// discovery: what was sent over the wire, and when. It must not query the state of a balancer, nor depend
// on how time passes or on who observes.
//
// internal/lab/simulation reports observations in simulated time, internal/lab/loadtest those of real sockets.
//
// The rules are:
//   - Lost: each received request gets one final response, at most Limits.Slack after the deadline.
//   - Repeated: a request that may have been executed is neither retried nor rejected, unless its class
//     allows a repeat. Attempts respect Limits.MaxAttempts and Limits.HedgedRequests.
//   - Drain: a balancer sends a server no attempt later than Limits.Grace after the balancer was notified
//     that the server drains or is gone.
//   - SlowStart: no server in slow start collapses under work that comes mainly from balancers that were
//     notified of the server's start.
//   - Deadline: no server is told more time than the client has left, plus a slack of 150 ms.
package invariants
