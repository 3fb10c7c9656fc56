// Package loadtest plays a scenario on real sockets: emulated servers and discovery (internal/lab/emulator),
// open-loop clients (internal/lab/load), and balancers as processes of their own. What both ends observe is
// checked by internal/lab/invariants.
//
// Run plays one realization of a scenario. On top of its own faults it can play handovers of balancers to new
// processes (Handover), seeded faults of links and processes (internal/lab/chaos), and let the balancers
// share one watch of discovery through a control group of voters. FaultTests are short scenarios with one
// fault each, and MeasureRecovery compares them with the same scenario without it.
//
// The package owns the balancers' processes, sockets and logs. It must not know more of them than an operator
// does: their configuration, their admin calls, their health check and /proc. It is called by
// piernotch-lab.
package loadtest
