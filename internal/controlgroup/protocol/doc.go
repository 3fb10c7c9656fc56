// Package protocol defines the requests that processes send to the control group, the responses, and the
// announcements of voters to each other. All are plain values without behaviour.
//
// Package client makes requests. Package voter serves Publish and Subscribe, and passes all others to package
// consensus. Package transport encodes requests and responses. Package protocol must depend neither on the
// transport nor on raft, so that a balancer that is only a client of the group does not link consensus.
package protocol
