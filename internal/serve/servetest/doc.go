// Package servetest holds what the tests of the serving packages have in common: an event loop whose clock the
// test sets, and a peer on a socket which the test plays.
//
// It is imported by tests alone (internal/serve/discovery, downstream, upstream), and knows none of the packages
// that they test.
package servetest
