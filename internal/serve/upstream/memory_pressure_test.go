package upstream

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"piernotch"
	"piernotch/internal/serve/core"
	"piernotch/internal/serve/memory"
	"piernotch/internal/serve/servetest"
)

// An incomplete response for which there is no memory must fail its attempt as one that may have been executed, and
// leave the memory to others.
func TestResponseBeyondMemoryFailsItsAttempt(t *testing.T) {
	f := newFixture(t)
	f.responseMemory.SetLimit(memory.Allowance)
	ref := f.startAttempt()
	peer := servetest.Accept(t, f.server)
	peer.RequestHead()
	peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 65536\r\n\r\n" + strings.Repeat("b", 4*memory.Allowance))
	require.Equal(t, core.AttemptCompleted{Ref: ref, Status: piernotch.Error}, <-f.Events)
	f.Do(func() { require.Zero(t, f.responseMemory.Used()) })
}

// An attempt whose client has left must not keep the body of its request.
func TestWrittenAttemptKeepsNoRequest(t *testing.T) {
	f := newFixture(t)
	ref := f.startAttempt()
	f.Do(func() { require.Nil(t, f.upstream.attempts[ref].request) })
}
