// Package discovery watches the service that lists the servers. It parses the wire format of the
// endpoint list, and receives changes of the list.
//
// A watch is a series of long polls. Each poll names the known generation, and the service holds it
// until there is a later generation or the wait is over. The next poll is sent within about
// minPollInterval of the response, because the service counts a poll that comes more than 200 ms
// later as a new watch.
//
// One balancer may poll for several (see controlgroup.SharedWatch). The others receive the lists
// that it publishes, and poll only while no balancer polls for them.
//
// The package must not know what endpoints are used for. The balancer decides when to start a
// failed watch again, unless WatchWithRestarts was called.
//
// The runtime package runs the Watcher, and the config package calls Parse. A Watcher is not safe
// for concurrent use: all its methods, and the connection handlers that it registers, run on the
// event loop's owning goroutine. Parse may be called from any goroutine. The package starts no
// goroutine.
package discovery
