// Package runtime runs one balancer process: it connects the reducer (package core) to the sockets
// (packages eventloop, downstream, upstream, discovery and admin). Events go from the sockets to the
// reducer, effects the other way.
//
// A [Balancer] owns all parts of the process. Each part receives its callbacks when New sets it up
// and does not depend on the Balancer otherwise. The handover state, siblingProcesses, has no callbacks:
// the Balancer asks it what follows from the siblings' records, such as whether to accept clients.
//
// The package owns the clock, the reducer's event queue, the order of start and shutdown, reloads,
// the limits on descriptors and memory, and the exchange with sibling processes during a handover.
// Decisions about requests belong to package core and the decision module, package piernotch. Formats
// (HTTP, discovery's JSON, handover records and traces) belong to the packages that this one calls.
//
// Command piernotch is the only caller. One goroutine calls New, Start and Run, in this order. While Run
// runs, that goroutine owns all state and executes everything else in the package. Only Shutdown and
// Reload may be called from other goroutines, once Start has returned.
package runtime
