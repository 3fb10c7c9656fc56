package main

import (
	"bytes"
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
)

// failingWriter fails every write after the first ones.
type failingWriter struct{ writes int }

func (w *failingWriter) Write(data []byte) (int, error) {
	if w.writes--; w.writes < 0 {
		return 0, errors.New("disk full")
	}
	return len(data), nil
}

func TestFailedWriteOfOutputIsReported(t *testing.T) {
	var stderr bytes.Buffer
	require.Equal(t, exitUsage, run([]string{"scenario", "list"}, &failingWriter{writes: 1}, &stderr))
	require.Contains(t, stderr.String(), "output: disk full")
}
