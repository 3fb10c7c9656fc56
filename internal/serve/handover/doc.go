// Package handover lets one process of a balancer take over from another on the same machine, as in
// a hot restart.
//
// Each process keeps a [Record] in a directory that both can read: its [ProcessState], the endpoint
// list as it knows it, the operators' overrides, and what its module has learnt about the traffic.
// Beside each record lies a lock file that its writer holds until it ends. The kernel
// releases the lock whichever way the process ends, so a record whose lock is free is that of a
// process that has ended. [Directory] reads and writes these files.
//
// Which process accepts clients, and how many descriptors each may hold, follows from the records
// alone and is decided without I/O by [ProcessState.Accepts] and [ProcessState.DescriptorShare].
// Every process comes to the same result on its own.
//
// The package knows neither sockets nor the core; internal/serve/runtime calls it, from the event
// loop's goroutine. The form of a record is stored on disk between versions of the program: golden
// files under testdata guard it.
package handover
