// Package memory divides the memory of a balancer process among its connections, so that the process keeps below its
// limit whatever its peers send.
//
// A [Plan] is derived from the limit, the number of descriptors and the number of servers. It says what the Go runtime
// may use, how many connections may be open, and how large two pools are. Each connection may hold [Allowance] bytes
// in buffers without asking; the number of connections bounds the sum. What it holds beyond that is charged to a
// [Pool]: that of requests, or that of responses. The owner of a buffer tells its [Account] the size after each change,
// and gives the buffer up at once if the pool does not fit any more. At any time the sum of all buffers is therefore
// at most that of the allowances and the pools, and one buffer.
//
// The two pools are separate, so that clients that send much cannot keep responses from being received.
//
// Which connection gives up its buffers is decided by the package that owns the connections: see [Pool.Reclaim]. This
// package knows nothing of connections or requests. The packages runtime, downstream and upstream use it, on the event
// loop's owning goroutine only.
package memory
