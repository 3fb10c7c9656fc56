// Package load plays the clients of a run. They are open-loop: each request is sent when it is due, whether
// or not earlier ones have their responses, and its latency counts from its due time. They keep the protocol:
// request ids, deadlines, idempotency keys, cost hints, reused connections, and retries by class.
// MalformedClients send what is not a valid request.
//
// The package knows balancers by their addresses only, and nothing of servers. What clients see goes to an
// Observer. It is called by loadtest and by piernotch-lab load.
package load
