// Package servetest contains helpers for the tests of the serving packages: an event loop whose clock the test sets,
// and a peer that is the test's side of a TCP connection.
//
// Only the tests of internal/serve/discovery, downstream and upstream import it. It must not import these packages.
package servetest
