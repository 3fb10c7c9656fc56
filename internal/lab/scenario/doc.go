// Package scenario defines the lab's workloads: a site, its traffic and the faults injected into it.
//
// A Scenario is read from TOML by Load or Parse and may be changed by With. Its values are ranges.
// Draw turns it into an Instance, in which each range has become one number, for a seed; the same
// scenario and seed always give the same Instance, digit for digit, so that two programs can be
// compared on it. Instance.Steps lists what its faults do to servers and to discovery, in one form
// for all that run it.
//
// The package owns the file format, its defaults, limits and error messages, the scenarios that are
// shipped with the program, and the order of the random draws. Each concern draws from a stream of
// its own (see Stream): a change in one does not move the values of another. It knows the decision
// module's settings and the server model's parameters, but nothing of simulated time, sockets or
// results. Packages simulation, emulator, load and loadtest run instances, goodput
// scores them; the piernotch-lab command loads scenarios and draws from them. docs/SCENARIOS.md is the
// reference of the format.
//
// The decoder prints Go type and field names of the schema (schema.go) in some of its errors, which
// operators see. Those names are therefore part of the format: a new name changes error messages.
//
// A Scenario is not modified once it has been returned, and any number of goroutines may draw from
// it. An Instance may be read by several goroutines, but for InstanceClass.Work: the distributions of
// all classes share a random stream, and one goroutine at a time may draw from them.
package scenario
