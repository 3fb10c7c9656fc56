// Package loadtest plays a scenario on real sockets: stand-in feed servers and discovery
// (internal/lab/emulator), open-loop clients (internal/lab/load), and balancers as processes of their own.
// What both ends see is checked by internal/lab/invariants.
//
// Run plays one day. On top of the scenario's own incidents it can play handovers of balancers to new
// processes (Handover), seeded faults of links and processes (internal/lab/chaos), and let the balancers
// share one watch of discovery through a group of voters. FaultTests are short scenarios with one fault
// each, and MeasureRecovery compares them with the same day without it.
//
// The package owns the balancers' processes, sockets and logs. It knows them only as an operator does:
// by their configuration, their admin calls, their health check and /proc. It is called by
// piernotch-lab.
package loadtest
