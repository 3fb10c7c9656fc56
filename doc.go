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
// Each request that HandleRequest accepts gets one final answer: a response that the host forwards, Reject,
// or Fail. A request whose client leaves gets none. Reject promises that trying again does no harm, so it is
// used only where no attempt may have executed or repeats are harmless.
//
// # A request's life
//
// On arrival a request gets a priority (its class, within or over its tenant's quota) and a lane (its cost
// hint, below or above the median). While answers come late everywhere, a share of the requests is rejected,
// lowest precedence first (internal/decision/admission). The others go to a server (selection.go): the own
// zone up to a small load on each server, then other zones; in each, the server that rendezvous hashing picks
// for the request's key, or else the next in weighted round robin that is expected to answer in time. If none has
// capacity, the request waits for the next tick or the next answer.
//
// One guard, mayStartAttempt, allows or denies every attempt (attempts.go): the class's retry safety, the
// number of attempts, draining, ejection, slow start and the concurrency limit. Retries and hedged requests
// spend a budget. A timer ticks a few times within the shortest latency objective, finds overdue attempts and
// reviews the servers.
//
// # Files
//
// The decisions are in the files that `policy` in deploy/balancer.toml lists:
//
//   - balancer.go: construction, events and the tick
//   - admission.go: what is known of a request on arrival, and the waiting requests
//   - selection.go: which server a request gets, weights and lanes
//   - attempts.go: the guard, retries, hedging and what outcomes lead to
//   - outlier_ejection.go: ejection, health checks and trials
//   - slow_start.go: the pace of requests to a server that has started lately
//   - concurrency_limits.go: the limit on attempts in flight in a group
//   - endpoints.go: the list of servers
//   - class_failures.go: what attempts show of a server for one class
//   - latencies.go: what answers show of servers, and what a request probably takes
//   - load_reports.go: bounds by load reports on what all balancers send
//   - internal/decision/admission: shedding, priorities and the bound on the queue
//   - internal/decision/classfailure: which classes one server fails while it serves others
//   - internal/decision/concurrency: how many attempts this balancer has in flight in a group
//   - internal/decision/latency: how long servers take, and from when on their silence counts
//   - internal/decision/loadreport: what all balancers have at the servers, by their load reports
//   - internal/decision/outlier: when a failing server is ejected and when it may return
//   - internal/decision/quota: which requests are over their tenant's quota
//   - internal/decision/retrybudget: how many retries and hedged requests may be sent
//   - internal/decision/slowstart: how much work a server gets that started lately
//   - internal/decision/subscription: when to subscribe to the endpoint list
//   - internal/decision/workload: how much work requests probably mean
//
// Beside them stand the interface (piernotch.go, settings.go), the records (state.go), and
// what operators ask for while the program runs (exclusion.go, snapshot.go).
// internal/decision/estimate has the arithmetic that several of the components share.
package piernotch
