package experiment

import (
	"errors"
	"fmt"
)

// Errors of the package's functions. They are wrapped with their subject.
var (
	// ErrBadFormat is a result file of another layout than Format.
	ErrBadFormat = errors.New("not a result file of this version")
	// ErrNothingToDraw is a result without anything to draw.
	ErrNothingToDraw = errors.New("nothing to draw")
	// ErrUnknownChart is a chart that a result does not have.
	ErrUnknownChart = errors.New("no such chart")
	// ErrUnknownImageFormat is a file name with another ending than .svg, .png or .html.
	ErrUnknownImageFormat = errors.New(".svg, .png or .html is expected")
	// ErrDimensions is a sweep over too few or too many dimensions.
	ErrDimensions = errors.New("a sweep has one or two dimensions")
	// ErrUnknownVariant is a variant that is neither a file nor settings.
	ErrUnknownVariant = errors.New("no such file, and no KEY=VALUE")
)

// FlagError is a malformed value of a command line's flag.
type FlagError struct {
	Flag  string // with its dashes
	Value string
	Err   error
}

// Error names the flag and its value.
func (e *FlagError) Error() string { return fmt.Sprintf("%s %s: %v", e.Flag, e.Value, e.Err) }

// Unwrap returns what was wrong with the value.
func (e *FlagError) Unwrap() error { return e.Err }
