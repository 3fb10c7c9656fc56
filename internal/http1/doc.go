// Package http1 contains an incremental parser and writers of HTTP/1.1 messages.
//
// The parser is strict where leniency is dangerous. Two interpretations of one message allow
// request smuggling past a proxy, so the parser rejects messages whose end is ambiguous, folded
// header lines, blanks before a colon and unknown transfer codings. It accepts HTTP/1.0, chunked
// bodies with extensions and trailers (which it discards), and interim responses (which it skips).
// All that it buffers is bounded.
//
// The package works on bytes only. It must not know of sockets, timeouts or the content that is
// served.
//
// Its callers are the downstream, upstream, discovery and admin packages and the lab's emulator. A
// Parser belongs to one connection and is not safe for concurrent use; the writers may be called
// from any goroutine.
package http1
