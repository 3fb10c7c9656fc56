package controlgroup

import (
	"errors"
	"strings"

	"piernotch/internal/tomlfile"
)

// FieldError describes an invalid setting, or a problem of the whole file. LoadFile adds the file's name and, if
// known, the setting's line. Callers extract it by errors.As into a *FieldError.
type FieldError struct {
	File string // the name passed to LoadFile; "": the settings did not come from a file
	Line int    // from 1; 0: not known
	Key  string // the key in the file; "": the error concerns the whole file
	Err  error  // what is wrong, without the place
}

// Error returns "group.key: what is wrong" if File is empty, and otherwise "file:line: key: what is wrong", without
// an unknown line or an empty key.
func (e *FieldError) Error() string {
	if e.File == "" {
		return "group." + e.Key + ": " + e.Err.Error()
	}
	return e.problem().String()
}

// Unwrap returns Err, for errors.Is and errors.As.
func (e *FieldError) Unwrap() error { return e.Err }

func (e *FieldError) problem() tomlfile.Error {
	return tomlfile.Error{File: e.File, Line: e.Line, Key: e.Key, What: e.Err.Error()}
}

// FieldErrors lists all problems of a configuration, in the order in which they were found.
type FieldErrors []*FieldError

// Error returns one line for each error.
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

// As lets errors.As convert the errors to tomlfile.Errors: the laboratory's program prints the problems of
// every kind of file in that type.
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

// fieldErrorsOf converts the problems that package tomlfile reports into errors of this package.
func fieldErrorsOf(problems tomlfile.Errors) FieldErrors {
	var errs FieldErrors
	for _, p := range problems {
		errs = append(errs, &FieldError{File: p.File, Line: p.Line, Key: p.Key, Err: errors.New(p.What)})
	}
	return errs
}
