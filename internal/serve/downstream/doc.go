// Package downstream owns the connections of clients. It parses the clients' requests
// and writes exactly one final response to each request. It rejects invalid requests
// itself.
//
// Each valid request becomes a core.RequestReceived event with a new exchange ID. The
// core responds to it with core.Respond. If the client disconnects or sends more data
// first, the core receives core.ClientDisconnected and must not respond any more; a
// response to an unknown exchange is ignored. A connection serves one request at a
// time: pipelined requests are rejected.
//
// A connection normally ends in two steps. First the sending side is closed, once
// all output is written; further input is discarded. Then the socket is closed, when
// the client has closed its side or the linger timeout has passed. Closing a socket
// with unread input would reset the connection, and could destroy a response in
// transit.
//
// The package must not contain logic that concerns servers, retries or admission
// control. It identifies classes and tenants to the core by their index in the
// settings.
//
// The runtime package is the only caller. Downstream is not safe for concurrent
// use: all its methods, and the connection handlers that it registers, must run on
// the event loop's owning goroutine. The package starts no goroutine.
package downstream
