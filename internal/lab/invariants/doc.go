// Package invariants checks the four rules of balancing against what clients, servers and service
// discovery observed: what went over the wire, and when. It must not ask a balancer about itself, nor
// know how time passes or who observes.
//
// internal/lab/simulation reports its observations in simulated time, internal/lab/loadtest those of
// real sockets. Both call a Checker in the order of time, from one goroutine at a time.
//
// The rules are: each received request gets one final response, in time (Lost); nothing that may have
// been executed is sent again beyond what its class allows, and no rejection claims otherwise
// (Repeated); no attempt goes to a server a while after the balancer was notified that the server
// drains or is gone (Drain); no server in slow start collapses under balancers that were notified of its
// start (SlowStart).
package invariants
