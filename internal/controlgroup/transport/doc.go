// Package transport carries the protocol of a control group between its members: CBOR frames over TCP,
// each with its length and a checksum.
//
// A connection begins with one Handshake each way, which names the group, the version of the frame format
// and the member. A peer of another group or version is rejected with an error that names the peer, and
// nothing else that it sends is read.
//
// The package owns the frame format. Members of an older release must understand it, so keys and values must
// not change. The package interprets no frames but handshakes. Its callers are the voter, which accepts and
// dials connections, and the client, which dials them.
package transport
