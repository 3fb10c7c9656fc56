// Package servetest contains helpers for the tests of the serving packages: an event loop whose clock the test sets,
// and a peer that is the test's side of a TCP connection.
//
// Only tests import it (internal/serve/discovery, downstream, upstream). It must not import the packages that they
// test.
package servetest
