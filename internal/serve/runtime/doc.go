// Package runtime runs one balancer process: it connects the reducer (package core) to the sockets
// (packages eventloop, downstream, upstream, discovery and admin), carrying events one way and
// effects the other.
//
// A [Balancer] owns all parts of the process. Each part gets the functions that it may call when it is
// made and knows nothing else of the Balancer. The state of the handover, siblingProcesses, calls
// nothing at all: it reports what follows from the siblings' records, and the Balancer acts on it.
//
// The package owns the clock, the event queue in front of the reducer, the order of start and
// shutdown, reloads, the limits on descriptors and memory, and the exchange with sibling processes
// of the same balancer during a handover. It decides nothing about requests: that is the task of
// core and of the module piernotch. It knows no formats either: HTTP, discovery's JSON, handover
// records and traces belong to the packages that it calls.
//
// Command piernotch is the only caller. New, Start and Run are called in this order by one
// goroutine; Run turns that goroutine into the owner of all state, and everything else in the
// package runs on it. Only Shutdown and Reload may be called from other goroutines, once Start has
// returned.
package runtime
