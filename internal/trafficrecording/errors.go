package trafficrecording

import (
	"errors"
	"fmt"
)

var (
	// ErrTruncated reports a recording that ends within its header or within a block.
	ErrTruncated = errors.New("the recording is cut short")
	// ErrNotRecording reports a file without the magic number of recordings.
	ErrNotRecording = errors.New("this is no recording: it does not begin with " + magic)
	// ErrChecksum reports a block whose data does not match its checksum.
	ErrChecksum = errors.New("its checksum is wrong")
)

// FileError reports that a recording could not be created, opened or read.
type FileError struct {
	Name string // path of the file; "": Err contains it
	Err  error  // a *BlockError if the error occurred after the recording's header
}

func (e *FileError) Error() string {
	if e.Name == "" {
		return "trace: " + e.Err.Error()
	}
	return "trace " + e.Name + ": " + e.Err.Error()
}

// Unwrap returns Err.
func (e *FileError) Unwrap() error { return e.Err }

// BlockError reports an error in a block of a recording.
type BlockError struct {
	Block int // number of the last block whose header was read, counted from 1 since Open or Seek; 0: none
	Err   error
}

func (e *BlockError) Error() string { return fmt.Sprintf("block %d: %v", e.Block, e.Err) }

// Unwrap returns Err.
func (e *BlockError) Unwrap() error { return e.Err }
