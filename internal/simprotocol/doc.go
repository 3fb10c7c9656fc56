// Package simprotocol encodes and decodes the simulator's protocol. The simulator sends batches of events
// over a pipe, and gets one reply of actions to each batch. Both are little-endian binary frames. A start
// event contains the settings as JSON.
//
// The package defines the layout of frames, the numbers of codes and the keys of settings. It must not
// know what a balancer decides, and holds no state beyond the buffers of one stream.
//
// cmd/simulator-adapter reads batches and writes replies. internal/lab/simulation implements the
// simulator's side, and internal/lab/loadtest writes settings. internal/serve/config and
// internal/serve/upstream use only the formats of settings and load reports.
//
// A Reader, Reply or BatchWriter must not be used concurrently. Decoding an event allocates nothing,
// and adding a record allocates only when a buffer grows.
package simprotocol
