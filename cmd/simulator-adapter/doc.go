// Command simulator-adapter hosts many balancers over standard input and output. It translates
// between the simulator's protocol (package simprotocol) and the piernotch package and decides nothing.
//
// It runs on one goroutine: a batch of events is passed to the balancers in order, and one reply with
// all of their actions is written before the next batch is read. It ends with exit code 0 at the end
// of its input, and with 1 after a malformed frame.
package main
