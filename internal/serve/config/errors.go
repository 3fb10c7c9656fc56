package config

import (
	"errors"
	"strconv"
	"strings"
)

// ErrNoConfiguration is returned by Load and Reload if ROUTER_CONFIG is empty or not set.
var ErrNoConfiguration = errors.New("ROUTER_CONFIG is not set")

// errMissing is the error for a key that the file read at the start has and the reloaded file lacks.
var errMissing = errors.New("missing")

// FieldError reports one invalid value of a configuration.
type FieldError struct {
	// File is the name of the TOML file, "" for the platform's file and environment.
	File string
	// Line is the line of the key in File, counted from 1; 0: not known.
	Line int
	// Key is the dotted key or the environment variable. It is ROUTER_CONFIG if the platform's file cannot
	// be read or decoded, or is incomplete at a reload. It is "" if Err concerns a whole TOML file, or
	// names the key, as the errors of packages simprotocol and piernotch do.
	Key string
	// Err says what is wrong or what is expected; it is never nil.
	Err error
}

// Error returns "file:line: key: err", without the parts that are not known.
func (e *FieldError) Error() string {
	var prefix string
	if e.File != "" {
		prefix = e.File
		if e.Line > 0 {
			prefix += ":" + strconv.Itoa(e.Line)
		}
		prefix += ": "
	}
	if e.Key != "" {
		prefix += e.Key + ": "
	}
	return prefix + e.Err.Error()
}

// Unwrap returns Err, for errors.Is and errors.As.
func (e *FieldError) Unwrap() error { return e.Err }

// FieldErrors holds all errors that were found in a file, in the order of the checks. A FieldErrors that is
// returned as an error is never empty.
type FieldErrors []*FieldError

// Error returns the texts of all errors, one per line.
func (e FieldErrors) Error() string {
	lines := make([]string, len(e))
	for i := range e {
		lines[i] = e[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns all errors, for errors.Is and errors.As.
func (e FieldErrors) Unwrap() []error {
	errs := make([]error, len(e))
	for i := range e {
		errs[i] = e[i]
	}
	return errs
}
