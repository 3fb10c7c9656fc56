// Package simulation runs one realization of a scenario in simulated time: clients, the load balancing in front
// of the balancers, balancers with the real decisions of package piernotch, servers as modelled by
// internal/lab/servermodel, service discovery, and the network between them.
//
// It owns simulated time and the order of what happens at one instant (see event_queue.go). It must
// not know how a balancer decides: that is behind Tier, which has one implementation in this process
// and one in a child process. It notifies internal/lab/invariants and internal/lab/goodput of what happens,
// and they judge it. cmd/piernotch-lab runs Worlds; internal/lab/loadtest shares the arrivals.
//
// A World runs one realization on the caller's goroutine; the same realization gives the same bytes.
//
// Random numbers are of two sorts. What does not depend on decisions (arrivals, work, keys, cost
// hints, faults) comes from streams of its own and is drawn in order. What does (a message's delay,
// the variation of an attempt's work, a client's backoff) is drawn from a hash of what it belongs to:
// the n-th attempt of the m-th request of a client draws the same numbers whatever else was decided.
package simulation
