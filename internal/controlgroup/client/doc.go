// Package client is a balancer's side of the control group. It does for duties what a leader elector does for
// a Kubernetes lease: it acquires the duties of its configuration, renews them while the process runs,
// and releases them at its end. It also carries the group's shared watch of discovery.
//
// A client sends requests over one connection to one voter at a time. Only the voter that leads the group
// responds to them; any other names the leader, and the client connects there. A client holds a duty only
// for as long as its own monotonic clock says that the lease is valid, so a client without a
// connection ends up holding nothing, and Token says so.
//
// The package must not know what a duty is for, nor link the consensus of the voters. Callers are the
// balancer's program and the laboratory.
//
// Each Client owns two goroutines, which Start begins and Close ends: one calls tickLocked at every
// tickInterval, the other keeps the connection and reads from it. All state is under Client.mu; methods whose
// names end in Locked are called with it held, and so are response handlers.
package client
