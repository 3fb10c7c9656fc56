// Package invariants checks the rules of balancing against observations of clients, servers and service
// discovery: what was sent over the wire, and when. It must not query the state of a balancer, and does
// not depend on the clock or on the observer.
//
// internal/lab/simulation reports observations in simulated time, internal/lab/loadtest reports those of
// real sockets. Both call a Checker in chronological order, from one goroutine at a time.
//
// The rules are:
//   - Lost: each received request gets one final response, in time.
//   - Repeated: a request that may have been executed is not sent again unless its class allows it, and
//     is not rejected where a rejection would invite the client to have it executed twice.
//   - Drain: a balancer sends no attempt to a server later than Limits.Grace after it was notified that
//     the server drains or is gone.
//   - SlowStart: no server in slow start collapses under work from balancers that were notified of its
//     start.
//   - Deadline: no server is told more time than the client has left.
package invariants
