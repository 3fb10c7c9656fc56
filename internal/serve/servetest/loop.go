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
	// Timeout bounds every wait for a socket; no test depends on how long one takes.
	Timeout = 20 * time.Second
	// ShortTime is less than any timeout of the serving packages.
	ShortTime = time.Millisecond

	descriptors = 256
)

// Loop is an event loop without ticks, a clock that only the test advances, and the events that the tested package
// emits.
type Loop struct {
	*eventloop.Loop
	Events chan core.Event
	clock  atomic.Int64
}

// NewLoop runs a loop until the test ends. Its clock stands at an hour.
func NewLoop(t *testing.T) *Loop {
	t.Helper()
	loop, err := eventloop.New(descriptors)
	require.NoError(t, err)
	l := &Loop{Loop: loop, Events: make(chan core.Event, 64)}
	l.clock.Store(int64(time.Hour))
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { // ends with ctx, which the cleanup awaits
		loop.Run(ctx, core.TickInterval, func() {})
		close(ended)
	}()
	t.Cleanup(func() {
		stop()
		<-ended
	})
	return l
}

// Now returns the clock's time. It may be called from any goroutine.
func (l *Loop) Now() time.Duration { return time.Duration(l.clock.Load()) }

// AdvanceClock lets time pass.
func (l *Loop) AdvanceClock(by time.Duration) { l.clock.Add(int64(by)) }

// Emit passes an event on to Events.
func (l *Loop) Emit(event core.Event) { l.Events <- event }

// Do runs a function on the loop's owning goroutine and waits for it.
func (l *Loop) Do(call func()) {
	done := make(chan struct{})
	l.Post(func() {
		call()
		close(done)
	})
	<-done
}
