// Package discovery follows the service that lists the servers: the form of
// the endpoint list on the wire, and the watch that receives its changes.
//
// A watch is a long poll. Each poll names the generation that is known, and the
// service holds it until there is a later one or the wait is over. The next poll
// follows a response at once, because the service counts a later one as a new
// watch.
//
// One balancer may poll for many (see controlgroup.SharedWatch): the others receive
// the lists that it publishes, and poll only while no balancer polls for them.
//
// The package must not know what endpoints are used for, nor decide when a failed
// watch is started again: the balancer does, unless WatchWithRestarts says that the watch
// restarts by itself.
//
// The runtime package runs the Watcher and the config package calls Parse. A
// Watcher is not safe for concurrent use: all its methods, and the connection
// handlers that it registers, run on the event loop's owning goroutine. Parse may
// be called from any goroutine. The package starts no goroutine.
package discovery
