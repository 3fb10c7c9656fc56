// Package storednames maps the names that results, scenarios and schedules keep on disk to the names that
// people read. Stored names are for good: files of earlier programs stay readable. The words of the field
// have changed since, and what is printed uses those of today.
//
// The package owns the one table of both. It knows nothing of what the names stand for. It is called where
// a stored name is printed, or is given on a command line: by experiment, loganalysis and piernotch-lab. Its functions
// may be called from any goroutine.
package storednames
