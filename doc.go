// Package piernotch makes the decisions of a reverse proxy that spreads requests over HTTP servers: which
// server gets a request, when to retry, hedge or reject it, and which servers to eject or warm up.
//
// # Contract
//
// A Balancer is single-threaded, does no I/O and reads no clock. The program that embeds it (the event loop
// of cmd/piernotch, the simulator adapter, the tests) calls one method per event, with the present clock
// time, and carries out what the Balancer asks of its Host before the next call. The clock only has to
// advance; all times are durations since an origin that the caller chooses. Equal settings, seeds and events
// give equal actions. The package must not know of connections, HTTP, configuration files or other processes:
// they reach it as Settings and events.
//
// Each request that HandleRequest accepts gets one final response: one that the host forwards, Reject,
// or Fail. A request whose client leaves gets none. Reject promises that trying again does no harm, so it is
// used only where no attempt may have executed or repeats are harmless.
//
// # A request's life
//
// On arrival a request gets a priority (its class, within or over its tenant's quota) and a lane (its cost
// hint, below or above the median). While responses come late everywhere, a share of the requests is rejected,
// lowest precedence first (internal/decision/admission). The others go to a server (selection.go): the own
// zone up to a small load on each server, then other zones; in each, the server that rendezvous hashing picks
// for the request's key, or else the next in weighted round robin that is expected to respond in time. If none
// has capacity, the request waits for the next tick or the next response.
//
// One guard, mayStartAttempt, allows or denies every attempt (balancer.go): the class's retry safety, the
// number of attempts, draining, ejection, slow start and the concurrency limit. Retries and hedged requests
// spend a budget. A timer ticks a few times within the shortest latency objective, finds overdue attempts and
// reviews the servers.
//
// # Files
//
// balancer.go is the place to start: the Balancer coordinates, from an event to what its host is asked to do.
// It calls, in the order of a request's life,
//
//   - requests.go: the records of open requests, and whether one may be repeated
//   - admission.go: what is known of a request on arrival, and which waiting request is next
//   - selection.go: which server a request gets
//   - groups.go: the servers that may get requests, their weights and the limit on attempts there
//   - class_failures.go, latencies.go, load_reports.go, outlier_ejection.go, slow_start.go: what attempts and
//     reports show of a server, and what follows from it; each is the border to a component
//   - endpoints.go, endpoint_set.go: the endpoint list, and what operators exclude from it
//   - configure.go: what follows from the settings, on construction and when they change
//
// The components are packages under internal/decision. Each alone owns its state, and none imports this
// package:
//
//   - admission: shedding, priorities and the bound on the queue
//   - classfailure: which classes one server fails while it serves others
//   - concurrency: how many attempts this balancer has in flight in a group
//   - estimate: the arithmetic that several components share
//   - lanes: turns of servers, for light and for heavy requests, and the server for a key
//   - latency: how long servers take, and from when on their silence counts
//   - loadreport: what all balancers have at the servers, by their load reports
//   - outlier: when a failing server is ejected and when it may return
//   - quota: which requests are over their tenant's quota
//   - retrybudget: how many retries and hedged requests may be sent
//   - slowstart: how much work a server gets that started lately
//   - subscription: when to subscribe to the endpoint list
//   - workload: how much work requests probably mean
//
// Beside them stand the interface (piernotch.go), the settings (settings.go), what a balancer hands to its
// successor (snapshot.go) and the line for the log (state_line.go). `policy` in deploy/balancer.toml lists
// the files that decide; docs/design/decisions.md says what each part decides and which state it owns.
package piernotch
