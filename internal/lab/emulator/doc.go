// Package emulator runs emulated servers and an emulated discovery service on loopback sockets. The
// servers behave as internal/lab/servermodel says; the scenario files are those of the simulation. Servers wait
// for the duration of their work and compute nothing, so one core can run hundreds of them.
//
// A Fleet owns the servers, discovery and their goroutines, from New to Close. The package does not define
// how servers behave (servermodel does) or which faults occur when (scenario does). It does not judge, but
// notifies an Observer. Its callers are loadtest and piernotch-lab emulate.
package emulator
