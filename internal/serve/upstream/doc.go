// Package upstream owns the connections to servers. It has one connection pool per
// endpoint, and runs attempts and health checks on the pooled connections.
//
// An attempt goes through these steps:
//
//  1. StartAttempt takes an idle connection from the endpoint's pool, or queues
//     the attempt and dials if necessary. core.AttemptConnected is emitted once the
//     attempt has a connection.
//  2. WriteAttempt writes the request. The core orders this only if the attempt
//     is still needed.
//  3. The response, or an AttemptError, ends the attempt. core.AttemptCompleted
//     is emitted once. After CancelAttempt nothing is emitted.
//
// Health checks use the same pools. Their request is written as soon as they have a
// connection. They end with core.HealthCheckCompleted, or without an event if overdue.
//
// The package must not choose endpoints, or decide on retries or what a client
// is sent: those decisions belong to the core and the decision module. Attempt
// timeouts also belong to the core, except for dials and for responses that stall.
//
// The runtime package is the only caller. Upstream is not safe for concurrent
// use: all its methods, and the connection handlers that it registers, must run on
// the event loop's owning goroutine. The package starts no goroutine.
package upstream
