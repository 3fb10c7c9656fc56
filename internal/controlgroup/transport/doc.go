// Package transport carries the protocol of a control group between its members: CBOR frames over TCP,
// each with its length and its checksum.
//
// A connection begins with one Handshake each way, which names the group, the version of the frames and the
// member. A peer of another group or version is rejected with an error that names it, and nothing
// else that it sends is read.
//
// The package owns the form of the frames, which members of an older release have to understand: keys and values
// do not change. It must not know what the frames mean. Callers are the voter, which accepts and
// dials connections, and the client, which dials them.
package transport
