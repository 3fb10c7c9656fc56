package discovery

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch"
	"piernotch/internal/serve/core"
	"piernotch/internal/serve/eventloop"
)

const (
	// testTimeout bounds every wait for a socket; no test depends on how long one takes.
	testTimeout = 20 * time.Second
	// shortTime is less than any timeout.
	shortTime = time.Millisecond
	// drainGrace is the least grace that operators have given a drain.
	drainGrace = 500 * time.Millisecond
)

// fixture is a Watcher on an event loop of its own, whose clock the test sets, and the discovery service,
// which the test plays.
type fixture struct {
	t       *testing.T
	loop    *eventloop.Loop
	watcher *Watcher
	clock   atomic.Int64
	events  chan core.Event
	service net.Listener
}

// newFixture starts a Watcher that knows version 5, and the service. Both run until the test ends.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	loop, err := eventloop.New(256)
	require.NoError(t, err)
	service, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = service.Close() })
	f := &fixture{t: t, loop: loop, service: service, events: make(chan core.Event, 64)}
	f.clock.Store(int64(time.Hour))
	f.watcher = New(Options{
		Loop:    loop,
		Emit:    func(event core.Event) { f.events <- event },
		Now:     func() time.Duration { return time.Duration(f.clock.Load()) },
		Address: service.Addr().String(),
		Version: 5,
	})
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
	return f
}

// do runs a function on the loop's owning goroutine and waits for it.
func (f *fixture) do(call func()) {
	done := make(chan struct{})
	f.loop.Post(func() {
		call()
		close(done)
	})
	<-done
}

// advance lets time pass, and then has the Watcher do what is due.
func (f *fixture) advance(by time.Duration) {
	f.clock.Add(int64(by))
	f.do(f.watcher.Tick)
}

// serviceConnection is the service's side of a connection.
type serviceConnection struct {
	net.Conn
	*fixture
	reader *bufio.Reader
}

// accept accepts the connection that the Watcher opens next.
func (f *fixture) accept() *serviceConnection {
	f.t.Helper()
	conn, err := f.service.Accept()
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = conn.Close() })
	require.NoError(f.t, conn.SetDeadline(time.Now().Add(testTimeout)))
	return &serviceConnection{Conn: conn, fixture: f, reader: bufio.NewReader(conn)}
}

// poll reads a poll and returns its target.
func (c *serviceConnection) poll() string {
	c.t.Helper()
	first, err := c.reader.ReadString('\n')
	require.NoError(c.t, err)
	for line := first; line != "\r\n"; {
		line, err = c.reader.ReadString('\n')
		require.NoError(c.t, err)
	}
	return strings.Fields(first)[1]
}

// respond sends a list without endpoints and waits until it was applied.
func (c *serviceConnection) respond(generation uint64) {
	c.t.Helper()
	body := emptyList(generation, false)
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	require.NoError(c.t, err)
	update := (<-c.events).(core.EndpointUpdate)
	require.Equal(c.t, piernotch.UpdateDelta, update.Kind)
	require.Empty(c.t, update.Endpoints)
	c.do(func() {}) // the next poll is scheduled behind the event
}

// requireClosed waits until the Watcher has closed the connection.
func (c *serviceConnection) requireClosed() {
	c.t.Helper()
	_, err := c.reader.ReadByte()
	require.ErrorIs(c.t, err, io.EOF)
}

// pollOf returns the target of a poll for what follows a version.
func pollOf(version int) string {
	return fmt.Sprintf("%s?index=%d&wait=%d", listPath, version, watchWait.Milliseconds())
}

// replacementOf returns the target of a poll that replaces a silent one.
func replacementOf(version int) string {
	return fmt.Sprintf("%s?index=%d&wait=%d", listPath, version, replacementWait.Milliseconds())
}

// The next poll follows a response, on the same connection and for the version of the response, but not
// within minPollInterval of the poll before.
func TestPollFollowsResponseAfterMinPollInterval(t *testing.T) {
	f := newFixture(t)
	f.do(f.watcher.Watch)
	connection := f.accept()
	require.Equal(t, pollOf(5), connection.poll())
	connection.respond(6)
	f.advance(minPollInterval - 1)
	scheduled := false
	f.do(func() { scheduled = f.watcher.nextPollAt > 0 })
	require.True(t, scheduled)
	f.advance(1)
	require.Equal(t, pollOf(6), connection.poll())
}

// A poll that times out is repeated at once on a new connection. The watch fails if all replacements time out,
// too, and is started again by the balancer.
func TestSilentPollIsReplacedBeforeTheWatchFails(t *testing.T) {
	f := newFixture(t)
	f.do(f.watcher.Watch)
	silent := f.accept()
	require.Equal(t, pollOf(5), silent.poll())
	timeout := watchWait + silenceGrace
	for _, next := range replacementTimeouts {
		f.advance(timeout)
		require.Empty(t, f.events)
		f.advance(shortTime)
		silent.requireClosed()
		silent = f.accept()
		require.Equal(t, replacementOf(5), silent.poll())
		timeout = next
	}
	f.advance(timeout)
	require.Empty(t, f.events)
	f.advance(shortTime)
	require.Equal(t, core.EndpointUpdate{Kind: piernotch.UpdateFailed}, <-f.events)
	silent.requireClosed()

	f.advance(time.Hour)
	f.do(f.watcher.Watch)
	require.Equal(t, pollOf(5), f.accept().poll())
}

// What a response brings cannot have been there before the poll, if the service has held that; if it has
// responded at once, not before the last response.
func TestUpdateSaysSinceWhenItCanHaveBeenListed(t *testing.T) {
	f := newFixture(t)
	f.do(f.watcher.Watch)
	connection := f.accept()
	connection.poll()
	respond := func() time.Duration {
		body := emptyList(6, false)
		_, err := fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		require.NoError(t, err)
		since := (<-f.events).(core.EndpointUpdate).Since
		f.do(func() {})
		return since
	}
	now := func() time.Duration { return time.Duration(f.clock.Load()) }
	require.Zero(t, respond(), "nothing is known of the list before")
	first := now()
	f.advance(minPollInterval)
	connection.poll()
	require.Equal(t, first, respond())
	f.advance(minPollInterval)
	connection.poll()
	f.advance(watchWait)
	require.Equal(t, now()-promptResponse, respond())
}

// A service that is slow and not silent, as one with many callers is, still gets its response through.
func TestSlowServiceRespondsToLastReplacement(t *testing.T) {
	f := newFixture(t)
	f.do(f.watcher.Watch)
	f.accept().poll()
	f.advance(watchWait + silenceGrace + shortTime)
	f.accept().poll()
	f.advance(replacementTimeouts[0] + shortTime)
	slow := f.accept()
	slow.poll()
	f.advance(3 * time.Second)
	slow.respond(6)
	require.Empty(t, f.events)
}

// Once a replacement has its response, the next poll waits as long as any, on the same connection.
func TestWatchGoesOnAfterReplacedPoll(t *testing.T) {
	f := newFixture(t)
	f.do(f.watcher.Watch)
	f.accept().poll()
	f.advance(watchWait + silenceGrace + shortTime)
	replacement := f.accept()
	require.Equal(t, replacementOf(5), replacement.poll())
	replacement.respond(6)
	f.advance(minPollInterval)
	require.Equal(t, pollOf(6), replacement.poll())
	f.advance(watchWait + silenceGrace)
	require.Empty(t, f.events)
}

// A poll for the complete list has its response at once, so that silence is noticed sooner than in a watch.
func TestSilentPollForCompleteListIsReplacedSooner(t *testing.T) {
	f := newFixture(t)
	f.do(func() { f.watcher.Move(f.service.Addr().String()) })
	first := f.accept()
	require.Equal(t, listPath, first.poll())
	f.advance(crowdedTimeout + shortTime)
	first.requireClosed()
	require.Equal(t, listPath, f.accept().poll())
	require.Empty(t, f.events)
}

// Where the service has gone silent and then refuses connections, the watch fails once the replacements are
// used up, and does not wait for the timeout of one.
func TestRefusedReplacementsFailTheWatch(t *testing.T) {
	f := newFixture(t)
	f.do(f.watcher.Watch)
	f.accept().poll()
	require.NoError(t, f.service.Close())
	f.advance(watchWait + silenceGrace + shortTime)
	require.Equal(t, core.EndpointUpdate{Kind: piernotch.UpdateFailed}, <-f.events)
}

// What users saw is the same as after an outage: requests go to a server that has long been draining.
//
// Order of events: the network drops a watch without a word, and the poll that replaces it, too. The first is
// noticed 6 s after its poll, the second took as long again, so that a change was known 12 s late. A change
// counts as notified 2 s after the wait of the poll that should have brought it, and a drain gives 2 s more.
//
// Cause: the replacement had the timeout of a watch, though it only has to show that the service responds.
func TestSilentReplacementOfSilentPollIsNoticedInTime(t *testing.T) {
	const countsAsNotified = watchWait + 2*time.Second
	f := newFixture(t)
	f.do(f.watcher.Watch)
	f.accept().poll()
	f.advance(watchWait + silenceGrace + shortTime)
	f.accept().poll()
	f.advance(countsAsNotified + drainGrace - (watchWait + silenceGrace) - 2*shortTime)
	require.NoError(t, f.service.(*net.TCPListener).SetDeadline(time.Now().Add(time.Second)))
	f.accept().poll()
}

// A watch that restarts by itself makes the next poll restartDelay after a failure.
func TestPushWatchRestartsAfterFailure(t *testing.T) {
	f := newFixture(t)
	f.do(f.watcher.SetPush)
	first := f.accept()
	first.poll()
	require.NoError(t, first.Close())
	require.Equal(t, core.EndpointUpdate{Kind: piernotch.UpdateFailed}, <-f.events)
	f.do(func() {}) // the restart is scheduled behind the event
	f.advance(restartDelay - 1)
	active := false
	f.do(func() { active = f.watcher.responseDue() })
	require.False(t, active)
	f.advance(1)
	require.Equal(t, pollOf(5), f.accept().poll())
}

// A watch that moves requests the complete list at the new address, and ignores what the old one sends.
func TestMovedWatchRequestsCompleteList(t *testing.T) {
	f, other := newFixture(t), newFixture(t)
	f.do(f.watcher.Watch)
	old := f.accept()
	old.poll()
	f.do(func() { f.watcher.Move(other.service.Addr().String()) })
	old.requireClosed()
	require.Equal(t, listPath, other.accept().poll())
	require.Empty(t, f.events)
}
