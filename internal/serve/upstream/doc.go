// Package upstream owns the connections to servers: one pool for each endpoint, and
// the attempts and health checks that wait for a connection or use one.
//
// An attempt goes through these steps:
//
//  1. StartAttempt takes an idle connection from the endpoint's pool, or queues
//     the attempt and dials. core.AttemptConnected is emitted once the attempt
//     has a connection.
//  2. WriteAttempt writes the request. The core calls it when it still wants the
//     attempt to run.
//  3. The response, or an AttemptError, ends the attempt. core.AttemptCompleted
//     is emitted once. After CancelAttempt nothing is emitted.
//
// Health checks go through the same pools, write at once and end with
// core.HealthCheckCompleted.
//
// The package must not know which endpoint to choose, when to retry or what a
// client is sent: those decisions are the core's and the decision module's. It does not
// time attempts out either, except responses that stall.
//
// The runtime package is the only caller. Upstream is not safe for concurrent
// use: all its methods, and the connection handlers that it registers, run on
// the event loop's owning goroutine. The package starts no goroutine.
package upstream
