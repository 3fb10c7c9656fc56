// Package simprotocol encodes and decodes the simulator's protocol: a batch of events comes in over a
// pipe, and one reply of actions goes out for each batch, both as little-endian binary frames.
// Settings travel inside of a start event as JSON.
//
// It owns the layout of frames, the numbers of codes and the keys of settings. It must not know
// what a balancer decides, nor hold any state beyond the buffers of one stream.
//
// cmd/simulator-adapter reads batches and writes replies; internal/lab/simulation and
// internal/lab/loadtest take the simulator's side. internal/serve/config and
// internal/serve/upstream use the forms of settings and load reports alone.
//
// A Reader, a Reply or a BatchWriter belongs to one goroutine. Decoding a record and adding one to
// a warm buffer allocate nothing.
package simprotocol
