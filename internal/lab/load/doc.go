// Package load runs the clients of a run. They are open-loop: each request is sent when it is due, whether
// or not earlier requests have their responses, and latency counts from the due time. They follow the
// protocol: request IDs, deadlines, cost hints, reused connections, and retries by class. MalformedClients
// send invalid requests.
//
// The package knows balancers only by number and address, and no servers. It notifies an Observer of what the
// clients see. Its callers are loadtest and piernotch-lab load.
package load
