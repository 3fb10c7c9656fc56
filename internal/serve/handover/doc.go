// Package handover lets one process of a balancer take over from another on the same machine, as in
// a hot restart.
//
// Each process writes a [Record] to a directory that both can read: its [ProcessState], its current
// endpoint list, the operators' overrides, and its module's estimates of the traffic. Next to each
// record is a lock file, which the same process keeps locked. The kernel releases the lock however the
// process ends, so a record whose lock is free belongs to a process that has ended. [Directory] reads
// and writes these files.
//
// [ProcessState.Accepts] decides which process accepts clients, and [ProcessState.DescriptorShare] how
// many descriptors each may hold. Both do no I/O, and the processes' decisions agree once all of them
// have read the same records.
//
// The package depends on neither the sockets nor the core. Package internal/serve/runtime calls it
// on the event loop's goroutine. Different versions of the program read each other's records from
// disk: golden files under testdata guard the format.
package handover
