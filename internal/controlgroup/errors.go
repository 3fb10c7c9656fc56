package controlgroup

import (
	"errors"
	"strings"

	"piernotch/internal/tomlfile"
)

// FieldError is a setting that cannot be used. LoadFile returns it with the file's name and, where the
// setting is in the file, its line. Callers find it by errors.As, with a *FieldError as the target.
type FieldError struct {
	File string // as passed to LoadFile; "": the settings did not come from a file
	Line int    // from 1; 0: not known
	Key  string // the key in the file; "": the file as a whole
	Err  error  // what is wrong
}

// Error returns "file:line: key: what is wrong" for a setting of a file, and "group.key: what is
// wrong" for any other.
func (e *FieldError) Error() string {
	if e.File == "" {
		return "group." + e.Key + ": " + e.Err.Error()
	}
	return e.problem().String()
}

// Unwrap returns what is wrong, without its place.
func (e *FieldError) Unwrap() error { return e.Err }

func (e *FieldError) problem() tomlfile.Error {
	return tomlfile.Error{File: e.File, Line: e.Line, Key: e.Key, What: e.Err.Error()}
}

// FieldErrors are all settings that cannot be used, in the order in which they were found.
type FieldErrors []*FieldError

// Error returns one line for each setting.
func (errs FieldErrors) Error() string {
	lines := make([]string, len(errs))
	for i, e := range errs {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the errors one by one, for errors.Is and errors.As.
func (errs FieldErrors) Unwrap() []error {
	all := make([]error, len(errs))
	for i, e := range errs {
		all[i] = e
	}
	return all
}

// As converts the errors to a *tomlfile.Errors target: the laboratory's program prints the problems of
// every kind of file by that type.
func (errs FieldErrors) As(target any) bool {
	problems, ok := target.(*tomlfile.Errors)
	if !ok {
		return false
	}
	*problems = nil
	for _, field := range errs {
		*problems = append(*problems, field.problem())
	}
	return true
}

// fieldErrorsOf converts what the reader of TOML files reports.
func fieldErrorsOf(problems tomlfile.Errors) FieldErrors {
	var errs FieldErrors
	for _, p := range problems {
		errs = append(errs, &FieldError{File: p.File, Line: p.Line, Key: p.Key, Err: errors.New(p.What)})
	}
	return errs
}
