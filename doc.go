// Package piernotch makes the decisions of a reverse proxy that balances requests over HTTP servers: which
// server gets a request, when to retry, hedge or reject it, and which servers to eject or to warm up.
//
// # Contract
//
// A Balancer is single-threaded, does no I/O and reads no clock. The program that embeds it (the event loop
// of cmd/piernotch, the simulator adapter, the tests) calls one method per event and passes the current clock
// time. Before the next call, it carries out the actions that the Balancer has requested from its Host. The
// clock must not go backwards; all times are durations since an origin that the caller chooses. Equal
// settings, seeds and events give equal actions. The package must not depend on connections, HTTP,
// configuration files or other processes: it learns of them only through Settings and events.
//
// Each request that HandleRequest accepts gets one final response: a server's response that the host
// forwards, a Reject or a Fail. A request whose client disconnects gets none. Reject promises that sending
// the request again is safe, so it is used only if no attempt may have executed or if repeats are harmless.
//
// # Life of a request
//
// On arrival, a request gets a priority band (its class, within or over its tenant's quota) and a lane (its
// cost hint, above the median or not). While responses are late in and outside the balancer's own zone, part of
// the work is rejected on arrival, lowest precedence first (internal/decision/admission). The other requests go
// to a server (selection.go): in the own zone up to a small load on each server, then in other zones. At each
// step, rendezvous hashing of the request's key selects the server. Without a key, or if that server is slow, has
// no capacity or is not expected to respond in time, the next server in weighted round robin that can respond in
// time gets the request. If no server can take the request, the request waits until the next tick or until
// another attempt ends. If it would wait too long, it gets a Reject or a Fail.
//
// Every attempt must pass one guard, mayStartAttempt (balancer.go). It checks the class's retry safety, the
// number of attempts, draining, exclusion, ejection, slow start and the concurrency limit. Retries and hedged
// requests use up a retry budget. A timer ticks several times within the shortest latency objective; ticks find
// overdue attempts and review the servers.
//
// # Files
//
// Start with balancer.go: the Balancer turns each event into actions of its host. It calls, in the order of a
// request's life,
//
//   - requests.go: the records of open requests, and whether a request may be repeated
//   - admission.go: the expected work and priority of a new request, and the order of waiting requests
//   - selection.go: which server a request gets
//   - groups.go: the servers that may get requests, their weights and the limit on attempts in flight
//   - class_failures.go, latencies.go, load_reports.go, outlier_ejection.go, slow_start.go: what attempts and
//     load reports show about a server, and the consequences; each connects the Balancer to one component
//   - endpoints.go, endpoint_set.go: the endpoint list, and the servers that operators exclude
//   - configure.go: values derived from the settings, on construction and at each change
//
// The components are packages under internal/decision. Each owns its state, and none imports this package:
//
//   - admission: load shedding, priorities and the limit on the queue
//   - classfailure: classes of requests that fail on a server while it serves others
//   - concurrency: the limit on this balancer's attempts in flight in a group
//   - estimate: arithmetic that several components share
//   - lanes: weighted round robin in separate lanes for light and heavy requests, and rendezvous hashing
//   - latency: how long servers take, and when an attempt is overdue
//   - loadreport: the requests of all balancers at the servers, from load reports
//   - outlier: when to eject a failing server and when to let it return
//   - quota: which requests are over their tenant's quota
//   - retrybudget: how many retries and hedged requests may be sent
//   - slowstart: how much work a recently started server gets
//   - subscription: when to subscribe to the endpoint list
//   - workload: the expected work of requests
//
// The remaining files define the interface (piernotch.go), validate the settings (settings.go), hand learnt
// state to a successor process (snapshot.go) and format the state for the log (state_line.go). `policy` in
// deploy/balancer.toml lists the files that make decisions. docs/design/decisions.md describes what each part
// decides and which state it owns.
package piernotch
