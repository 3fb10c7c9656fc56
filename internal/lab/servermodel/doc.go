// Package servermodel models how a server executes the work that it receives. The model covers queueing,
// processor sharing, slow start and collapse during slow start, overload, pauses, the cost of connections,
// key affinity and load reports.
//
// A Server is pure: it reads no clock, opens no sockets, and its random numbers depend only on a seed.
// Methods that change a Server take the present time, which must not go backwards. Next returns when Advance
// must be called at the latest. The package must not know of balancers, or of how requests end for clients.
// A Server must not be used concurrently.
//
// internal/lab/simulation runs thousands of Servers in simulated time. internal/lab/emulator runs the same
// model behind sockets. internal/lab/scenario draws Kinds at random.
//
// Work is measured in milliseconds on a core of speed 1, as are cost hints: a core of speed 2 does 2 ms of
// work in 1 ms.
package servermodel
