// Package simulation runs one realization of a scenario in simulated time: clients, the load balancing in front
// of the balancers, balancers with the real decisions of package piernotch, servers as modelled by
// internal/lab/servermodel, service discovery, and the network between them.
//
// The package owns simulated time and the order of events at the same instant (see event_queue.go). It must not
// know how a balancer decides: Tier hides the decisions, with one implementation in this process and one in a
// child process. internal/lab/invariants and internal/lab/goodput judge a run by what the package reports to
// them. cmd/piernotch-lab runs Worlds; internal/lab/loadtest uses the same arrivals.
//
// A World runs one realization on the caller's goroutine. The same realization with the same decision module
// gives the same Result, except for the wall-clock times.
//
// Random numbers come from two kinds of sources. Numbers that no decision affects (arrivals, work, keys, cost
// hints, faults) come from separate streams and are drawn in order. All others (the delay of a message, the
// variation of an attempt's work, a client's backoff) are drawn with a seed that is a hash of what they belong to:
// the n-th attempt of the m-th send of a client request draws the same numbers, whatever else was decided.
package simulation
