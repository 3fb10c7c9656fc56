// Package downstream owns the clients' connections: it parses their requests,
// rejects invalid ones itself, and writes exactly one final response to each.
//
// A valid request becomes a core.RequestReceived event with an exchange ID of its
// own, to which the core responds by Respond. If the client disconnects first, the
// core is sent core.ClientDisconnected and must not respond any more; a response to
// an unknown exchange is ignored. A connection serves one request at a time: pipelined
// requests are rejected.
//
// A connection ends in two steps. First the sending side is closed, once all
// that was to be written has been; what the client still sends is discarded.
// Then the socket is closed, when the client has closed its side or the linger
// timeout has passed. Closing at once over unread bytes would reset the
// connection and could destroy a response on its way.
//
// The package must not know servers, retries or admission control. It knows classes
// and tenants only by the index that the core uses.
//
// The runtime package is the only caller. Downstream is not safe for concurrent
// use: all its methods, and the connection handlers that it registers, run on
// the event loop's owning goroutine. The package starts no goroutine.
package downstream
