// Package eventloop holds the program's TCP sockets: it runs nbio's engine and hands whatever
// happens on a socket to one goroutine, which owns all state.
//
// # Goroutines
//
// The owning goroutine is the one that calls Loop.Run. Handlers, functions passed to Loop.Post and
// all other callbacks run there, one at a time; methods of Conn may be called there alone. The other
// goroutines are nbio's poller, which reads sockets and flushes writes, one for each Listener that
// accepts, and one for each dial. They share no state with the owner but the mailbox and atomic
// counters.
//
// # Order
//
// What happens on one connection is handled in its order. After a stall, that is when the owner did
// not run for some time, messages of connections that were prioritized, and closes by clients, are
// handled before the rest, and the rest before the clock advances.
//
// The package knows nothing of HTTP, requests or servers. Packages downstream, upstream, discovery
// and admin are its users; package runtime owns the Loop.
package eventloop
