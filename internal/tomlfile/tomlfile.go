// Package tomlfile reads TOML strictly and reports all problems of a file at once, each with its
// line.
//
// It checks only syntax and the types of values. The caller checks ranges and meanings: Lines
// returns the line of each key, and Error is the type of a problem. Packages config, controlgroup
// and scenario call it. All functions may be called from any goroutine.
package tomlfile

import (
	"bytes"
	"errors"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Error is one problem of a file.
type Error struct {
	File string
	Line int    // from 1; 0: unknown
	Key  string // dotted, with indexes for elements of arrays of tables; "": the whole file
	What string // what is wrong or what is expected
}

// String returns "file:line: key: what", without the parts that are unknown.
func (e Error) String() string {
	position := e.File
	if e.Line > 0 {
		position += ":" + strconv.Itoa(e.Line)
	}
	if position != "" {
		position += ": "
	}
	if e.Key != "" {
		position += e.Key + ": "
	}
	return position + e.What
}

// Error returns the same as String.
func (e Error) Error() string { return e.String() }

// Errors lists all problems in the order in which they were found. A non-nil error of this type is
// never empty.
type Errors []Error

// Error returns one line for each problem.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i := range e {
		lines[i] = e[i].String()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the problems, so that errors.As finds the first.
func (e Errors) Unwrap() []error {
	errs := make([]error, len(e))
	for i := range e {
		errs[i] = e[i]
	}
	return errs
}

// maxUnreadable limits how many unreadable values of one file are reported.
const maxUnreadable = 100

// Decode reads a document into v, a pointer. Fields of v whose keys the document lacks keep their
// values. A value that cannot be read is reported and then ignored, so that the rest is still
// checked. Types with an UnmarshalTOML method decode themselves. The name of the file is used only
// in problems.
func Decode(file string, data []byte, v any) Errors {
	var problems Errors
	data = bytes.Clone(data)
	for range maxUnreadable {
		decoder := toml.NewDecoder(bytes.NewReader(data))
		decoder.DisallowUnknownFields().EnableUnmarshalerInterface()
		err := decoder.Decode(v)
		var unknown *toml.StrictMissingError
		var unreadable *toml.DecodeError
		switch {
		case err == nil:
			return problems
		case errors.As(err, &unknown):
			return append(problems, unknownKeys(file, unknown)...)
		case errors.As(err, &unreadable):
			line, _ := unreadable.Position()
			problems = append(problems, Error{
				File: file, Line: line, Key: strings.Join(unreadable.Key(), "."),
				What: strings.TrimPrefix(unreadable.Error(), "toml: "),
			})
			if !blankExpression(data, line) {
				return problems
			}
		default:
			return append(problems, Error{File: file, What: err.Error()})
		}
	}
	return problems
}

// unknownKeys returns a problem for each key without a corresponding field.
func unknownKeys(file string, err *toml.StrictMissingError) Errors {
	var problems Errors
	for i := range err.Errors {
		missing := &err.Errors[i]
		line, _ := missing.Position()
		problems = append(problems, Error{
			File: file,
			Line: line,
			Key:  strings.Join(missing.Key(), "."),
			What: "no such key",
		})
	}
	return problems
}
