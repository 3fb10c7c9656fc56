// Package protocol defines the requests that processes send to the control group, the responses, and what a voter
// announces to others. They are plain values without behaviour.
//
// Package client makes requests, package voter passes them to package consensus, which responds, and package
// transport encodes both. The package must not know how they travel, nor raft: a balancer that is a client
// of the group links no consensus.
package protocol
