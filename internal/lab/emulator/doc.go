// Package emulator puts the behaviour of internal/lab/servermodel behind sockets: stand-in servers and
// a stand-in discovery service on loopback, scripted by the same scenario files as the simulation. Work is
// waited for, not computed, so that hundreds of servers fit on a core.
//
// A Fleet owns the servers, discovery and their goroutines, from New to Close. The package decides nothing
// about how servers behave (that is servermodel) or when what goes wrong (that is scenario), and does not
// judge what it sees: it notifies an Observer. It is called by loadtest and by piernotch-lab emulate.
package emulator
