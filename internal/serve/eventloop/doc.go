// Package eventloop owns the program's TCP sockets. It runs nbio's engine and passes all events of
// the sockets to one goroutine, which owns all state.
//
// # Goroutines
//
// The owning goroutine is the one that calls Loop.Run. Handlers, functions passed to Loop.Post and
// all other callbacks run on it, one at a time; methods of Conn must be called on it. The other
// goroutines are nbio's poller, which reads sockets and flushes writes, one for each Listener that
// accepts, and one for each dial. With the owning goroutine they share only the mailbox, atomic
// fields and a few fields guarded by a mutex.
//
// # Order
//
// Events of one connection are handled in order, except after a stall, which is a long gap between
// two batches of messages. Then the data of prioritized connections and the closes of client
// connections are handled first, all other messages next, and only then does the clock advance.
//
// The package knows nothing of HTTP, requests or servers. Packages downstream, upstream, discovery
// and admin use it; package runtime owns the Loop.
package eventloop
