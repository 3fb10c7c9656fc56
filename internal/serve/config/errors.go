package config

import (
	"errors"
	"strconv"
	"strings"
)

// ErrNoConfiguration says that no configuration file is named.
var ErrNoConfiguration = errors.New("ROUTER_CONFIG is not set")

// errMissing says that a key which the file in force holds is not in the new one.
var errMissing = errors.New("missing")

// FieldError is one value of a configuration that is not valid.
type FieldError struct {
	// File is the name of the TOML file, "" for the platform's file and environment.
	File string
	// Line is the line of the key in File, counted from 1; 0: not known.
	Line int
	// Key is the dotted key or the name of the environment variable. It is "" where Err concerns the
	// whole file or names the key itself, as the errors of packages simprotocol and piernotch do.
	Key string
	// Err says what is wrong or what is expected.
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

// Unwrap returns Err.
func (e *FieldError) Unwrap() error { return e.Err }

// FieldErrors is all that is wrong with a file, in the order of the checks. It is never empty where
// it is returned as an error.
type FieldErrors []*FieldError

// Error returns one line for each.
func (e FieldErrors) Error() string {
	lines := make([]string, len(e))
	for i := range e {
		lines[i] = e[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns each.
func (e FieldErrors) Unwrap() []error {
	errs := make([]error, len(e))
	for i := range e {
		errs[i] = e[i]
	}
	return errs
}
