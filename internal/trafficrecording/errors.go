package trafficrecording

import (
	"errors"
	"fmt"
)

var (
	// ErrTruncated says that a recording ends in the middle of its header or of a block.
	ErrTruncated = errors.New("the recording is cut short")
	// ErrNotRecording says that a file is no recording.
	ErrNotRecording = errors.New("this is no recording: it does not begin with " + magic)
	// ErrChecksum says that a block has been changed.
	ErrChecksum = errors.New("its checksum is wrong")
)

// FileError is an error of a recording's file.
type FileError struct {
	Name string // of the file; "": Err names it
	Err  error  // a *BlockError behind the recording's header
}

func (e *FileError) Error() string {
	if e.Name == "" {
		return "trace: " + e.Err.Error()
	}
	return "trace " + e.Name + ": " + e.Err.Error()
}

// Unwrap returns Err.
func (e *FileError) Unwrap() error { return e.Err }

// BlockError is an error in a block.
type BlockError struct {
	Block int // number of the last block whose header could be read, from 1; 0: none could
	Err   error
}

func (e *BlockError) Error() string { return fmt.Sprintf("block %d: %v", e.Block, e.Err) }

// Unwrap returns Err.
func (e *BlockError) Unwrap() error { return e.Err }
