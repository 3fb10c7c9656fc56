// Command simulator-adapter runs many balancers that a simulator controls over standard input and output.
// It translates between the simulator's protocol (package simprotocol) and package piernotch, and makes no
// decisions.
//
// All work is done on one goroutine. The balancers get the events of a batch in order, and one reply with
// all of their actions is written before the next batch is read. The exit code is 0 at the end of the
// input, and 1 after an error such as a malformed frame.
package main
