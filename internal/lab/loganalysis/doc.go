// Package loganalysis reads the logs of many balancers together: what all of them did, by second and
// by server, and the lines about one request. Requests and attempts are in a log of level debug only
// (PIERNOTCH_LOG=debug).
//
// A line is logfmt, key=value. If a number stands before it, that is the line's time in seconds since
// a start that all balancers have in common, and counts instead of the line's own time.
//
// The package owns the names and keys of the balancers' log events that it reads (events.go), and those that
// older programs logged (oldnames.go). It must not know anything else of the balancer. It is called by
// piernotch-lab logs. All its functions may be called from any goroutine.
package loganalysis
