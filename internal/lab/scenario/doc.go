// Package scenario defines the lab's workloads: a site, its traffic and the faults injected into it.
//
// A Scenario is read from TOML by Load or Parse and may be changed by With. Its values are ranges.
// Draw turns it into a Realization, in which each range has become one number, for a seed; the same
// scenario and seed always give the same Realization, digit for digit, so that two programs can be
// compared on it. Realization.Steps lists what its faults do to servers and to discovery, in one form
// for all that run it.
//
// The package owns the file format, its defaults, limits and error messages, the scenarios that are
// shipped with the program, and the order of the random draws. Each concern draws from a stream of
// its own (see Stream): a change in one does not move the values of another. It knows the decision
// module's settings and the server model's parameters, but nothing of simulated time, sockets or
// results. Packages simulation, emulator, load and loadtest run realizations, goodput
// scores them; the piernotch-lab command loads scenarios and draws from them. docs/SCENARIOS.md is the
// reference of the format.
//
// The keys of a file are in the tags of the schema (schema.go). Go names appear in errors that operators
// see where the TOML decoder rejects the type of a value: the names of types, and those of fields that
// hold a whole number, a text, a boolean or a list. A Range takes any value and leaves it to Check, so
// that the names of its fields appear nowhere.
//
// A Scenario is not modified once it has been returned, and any number of goroutines may draw from
// it. A Realization may be read by several goroutines, but for DrawnClass.Work: the distributions of
// all classes share a random stream, and one goroutine at a time may draw from them.
package scenario
