// Package http1 holds an incremental parser and the writers of HTTP/1.1 messages.
//
// The parser is strict where leniency is dangerous: two readings of one message
// are how requests are smuggled past a proxy, so a message whose end is ambiguous
// is rejected, and so are folded header lines, blanks before a colon and unknown
// transfer codings. It takes HTTP/1.0, chunked bodies with extensions and
// trailers (which it discards), and interim responses (which it skips). All that
// it buffers is bounded.
//
// The package works on bytes alone. It must not know of sockets, timeouts or what
// is served.
//
// Callers are the downstream, upstream, discovery and admin packages and the
// lab's emulator. A Parser belongs to one connection and is not safe for
// concurrent use; the writers may be called from any goroutine.
package http1
