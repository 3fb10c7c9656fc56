package servetest

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch/internal/serve/core"
	"piernotch/internal/serve/eventloop"
)

const (
	// Timeout limits every wait for a socket. It only ends a test that would hang otherwise; no result depends on it.
	Timeout = 20 * time.Second
	// ShortTime is less than any timeout of the serving packages. Tests advance the clock by it to go just past a
	// timeout.
	ShortTime = time.Millisecond

	descriptors = 256
)

// Loop is an event loop for tests. It does not call the tested package's Tick; the test does. Only the test advances
// the loop's clock. Events receives the events that the tested package emits.
type Loop struct {
	*eventloop.Loop
	Events chan core.Event
	clock  atomic.Int64
}

// NewLoop starts a loop that runs until the test ends. Its clock starts at one hour.
func NewLoop(t *testing.T) *Loop {
	t.Helper()
	loop, err := eventloop.New(descriptors)
	require.NoError(t, err)
	l := &Loop{Loop: loop, Events: make(chan core.Event, 64)}
	l.clock.Store(int64(time.Hour))
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { // ends with ctx; the cleanup waits for the end
		loop.Run(ctx, core.TickInterval, func() {})
		close(ended)
	}()
	t.Cleanup(func() {
		stop()
		<-ended
	})
	return l
}

// Now returns the time of the test's clock. It may be called from any goroutine.
func (l *Loop) Now() time.Duration { return time.Duration(l.clock.Load()) }

// AdvanceClock moves the clock forward. Timeouts take effect at the tested package's next Tick.
func (l *Loop) AdvanceClock(by time.Duration) { l.clock.Add(int64(by)) }

// Emit is the emit function for the tested package. It sends an event to Events, and blocks while Events is full.
func (l *Loop) Emit(event core.Event) { l.Events <- event }

// Do runs call on the loop's owning goroutine and waits until it returns.
func (l *Loop) Do(call func()) {
	done := make(chan struct{})
	l.Post(func() {
		call()
		close(done)
	})
	<-done
}
