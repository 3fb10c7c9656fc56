// Package client is a balancer's side of the control group. It works like a leader elector on a Kubernetes
// lease: it acquires the duties of its configuration, renews their leases while the process runs, and
// releases them in Close. It also implements the group's shared watch of discovery.
//
// A client sends requests over one connection to one voter at a time. Only the leader serves them; any other
// voter names the leader, and the client connects there. A client holds a duty only while the lease is valid
// by the client's own monotonic clock. A client that stays disconnected until its leases expire therefore
// loses all its duties, and Token reports that.
//
// The package must not link the voters' consensus. Apart from the shared watch's duty, it must not depend on
// what a duty is for. Its callers are the balancer's program and the laboratory.
//
// Each Client owns two goroutines, which Start starts and Close ends: one calls tickLocked at every
// tickInterval, the other keeps the connection and reads from it. Client.mu guards all state. Methods whose
// names end in Locked, and response handlers, are called with Client.mu held.
package client
