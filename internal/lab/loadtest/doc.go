// Package loadtest plays a scenario on real sockets: emulated servers and discovery (internal/lab/emulator),
// open-loop clients (internal/lab/load), and balancers in separate processes. The invariants
// (internal/lab/invariants) are checked against what clients, servers and discovery observe.
//
// Run plays one realization of a scenario with its faults. Options can add handovers of balancers to new
// processes (Handover), seeded faults of links and processes (internal/lab/chaos), and a control group of voters
// through which the balancers share one watch of discovery. FaultTests returns short scenarios for recovery
// from faults, and one without a fault. MeasureRecovery compares a run with its control, a run without the fault.
//
// The package owns the balancers' processes, sockets and logs. It must not rely on more than an operator sees of a
// balancer: configuration, admin calls, health check and /proc. piernotch-lab calls it.
package loadtest
