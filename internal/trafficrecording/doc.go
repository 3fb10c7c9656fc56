// Package trafficrecording reads and writes recorded traffic: which requests clients sent, and how they ended.
// A balancer writes a recording while it serves requests, which never wait for the disk. The lab's
// simulation replays the recording.
//
// The package defines the file format. It does not know where records come from or what a class means.
// Package runtime writes recordings; package simulation and command piernotch-lab read them.
//
// # Format
//
// Version 1, integers little-endian:
//
//	8 bytes   "PNTRACE1"
//	u32       size of the header in bytes; the header, a CBOR map (Header)
//	blocks    u32 size of the data, u32 number of records, i64 time of the first (ns since the
//	          start), u32 CRC-32C of the data; data: the records, compressed by DEFLATE
//	          (RFC 1951), each a CBOR array (RFC 8949; Record, in the order of its fields)
//
// Each block can be decoded without the others. Reader.Seek reads the blocks' headers and skips their data
// to find a time in a long file. If the writer's process dies, the last block of the file may be
// truncated; the blocks before it are complete.
package trafficrecording
