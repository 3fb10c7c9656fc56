// Package trafficrecording reads and writes recorded traffic: which requests clients sent, and how they ended.
// A balancer writes a recording while it serves, without ever waiting for the disk, and the lab's
// simulation replays it.
//
// The package owns the file format. It does not know where records come from or what a class
// means: package runtime writes them, package simulation and command piernotch-lab read them.
//
// # Format
//
// Version 1, integers little-endian:
//
//	8 bytes   "PNTRACE1"
//	u32       size of the header in bytes; the header, a CBOR map (Header)
//	blocks    u32 size of the data, u32 number of records, i64 time of the first (ns since the
//	          start), u32 CRC-32C of the data; data: DEFLATE (RFC 1951) of as many
//	          records, each a CBOR array (RFC 8949; Record, in the order of its fields)
//
// Each block can be read alone, and the blocks' headers can be read without their data, which is how
// Reader.Seek finds a time in a long file. A file whose writer died ends in a block that is cut
// short; the blocks before it are complete.
package trafficrecording
