package discovery

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch"
	"piernotch/internal/serve/core"
	"piernotch/internal/serve/servetest"
)

// drainGrace is the shortest grace period of a drain that operators have configured.
const drainGrace = 500 * time.Millisecond

// fixture is a Watcher on its own event loop, a clock that the test sets, and the listener with
// which the test plays the discovery service.
type fixture struct {
	*servetest.Loop
	t       *testing.T
	watcher *Watcher
	service net.Listener
}

// newFixture creates a Watcher at version 5 and the service's listener. Both last until the test
// ends.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, service: servetest.Listen(t), Loop: servetest.NewLoop(t)}
	f.watcher = New(Options{
		Loop:    f.Loop.Loop,
		Emit:    f.Emit,
		Now:     f.Now,
		Address: f.service.Addr().String(),
		Version: 5,

		MaxListSize: 1 << 20,
	})
	return f
}

// advance advances the clock and then calls the Watcher's Tick.
func (f *fixture) advance(by time.Duration) {
	f.AdvanceClock(by)
	f.Do(f.watcher.Tick)
}

// serviceConnection is the service's side of a connection.
type serviceConnection struct {
	*servetest.Peer
	*fixture
}

// accept accepts the next connection that the Watcher opens.
func (f *fixture) accept() *serviceConnection {
	f.t.Helper()
	return &serviceConnection{Peer: servetest.Accept(f.t, f.service), fixture: f}
}

// poll reads the request of a poll and returns its target.
func (c *serviceConnection) poll() string {
	c.t.Helper()
	return strings.Fields(c.RequestHead()[0])[1]
}

// sendList sends a list without endpoints and returns the update that it causes.
func (c *serviceConnection) sendList(generation uint64) core.EndpointUpdate {
	c.t.Helper()
	return c.receiveUpdate(emptyList(generation, false))
}

func (c *serviceConnection) sendBody(body []byte) {
	c.t.Helper()
	c.Send(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
}

// receiveUpdate sends a list in its wire format and returns the update that it causes.
func (c *serviceConnection) receiveUpdate(body []byte) core.EndpointUpdate {
	c.t.Helper()
	c.sendBody(body)
	update := (<-c.Events).(core.EndpointUpdate)
	c.Do(func() {}) // wait until the next poll is scheduled, which happens after the event is emitted
	return update
}

// respond sends a list without endpoints and waits until it is applied.
func (c *serviceConnection) respond(generation uint64) {
	c.t.Helper()
	update := c.sendList(generation)
	require.Equal(c.t, piernotch.UpdateDelta, update.Kind)
	require.Empty(c.t, update.Endpoints)
}

// pollOf returns the target of a poll for the changes after a version.
func pollOf(version int) string {
	return fmt.Sprintf("%s?index=%d&wait=%d", listPath, version, watchWait.Milliseconds())
}

// replacementOf returns the target of a poll that replaces a silent one.
func replacementOf(version int) string {
	return fmt.Sprintf("%s?index=%d&wait=%d", listPath, version, replacementWait.Milliseconds())
}

// A second response to an earlier poll is outdated. It is not applied; the complete list is polled
// on a new connection, and may then have any version.
func TestSecondResponseToAnEarlierPollIsNotApplied(t *testing.T) {
	f := newFixture(t)
	f.Do(f.watcher.Watch)
	connection := f.accept()
	connection.poll()
	for generation := uint64(6); generation <= 7; generation++ {
		connection.respond(generation)
		f.advance(minPollInterval)
		connection.poll()
	}
	connection.sendBody(emptyList(6, false))
	connection.RequireClosed()
	require.Empty(t, f.Events)
	f.advance(minPollInterval)
	connection = f.accept()
	require.Equal(t, listPath, connection.poll())
	require.Equal(t, piernotch.UpdateFull, connection.receiveUpdate(emptyList(3, true)).Kind)
	f.advance(minPollInterval)
	require.Equal(t, pollOf(3), connection.poll())
}

// The next poll follows a response on the same connection and names the response's version, but is
// not sent within minPollInterval of the previous poll.
func TestPollFollowsResponseAfterMinPollInterval(t *testing.T) {
	f := newFixture(t)
	f.Do(f.watcher.Watch)
	connection := f.accept()
	require.Equal(t, pollOf(5), connection.poll())
	connection.respond(6)
	f.advance(minPollInterval - 1)
	scheduled := false
	f.Do(func() { scheduled = f.watcher.nextPollAt > 0 })
	require.True(t, scheduled)
	f.advance(1)
	require.Equal(t, pollOf(6), connection.poll())
}

// A poll that times out is repeated at once on a new connection. If all replacements time out as
// well, the watch fails, and the balancer starts it again.
func TestSilentPollIsReplacedBeforeTheWatchFails(t *testing.T) {
	f := newFixture(t)
	f.Do(f.watcher.Watch)
	silent := f.accept()
	require.Equal(t, pollOf(5), silent.poll())
	timeout := watchWait + silenceGrace
	for _, next := range replacementTimeouts {
		f.advance(timeout)
		require.Empty(t, f.Events)
		f.advance(servetest.ShortTime)
		silent.RequireClosed()
		silent = f.accept()
		require.Equal(t, replacementOf(5), silent.poll())
		timeout = next
	}
	f.advance(timeout)
	require.Empty(t, f.Events)
	f.advance(servetest.ShortTime)
	require.Equal(t, core.EndpointUpdate{Kind: piernotch.UpdateFailed}, <-f.Events)
	silent.RequireClosed()

	f.advance(time.Hour)
	f.Do(f.watcher.Watch)
	require.Equal(t, pollOf(5), f.accept().poll())
}

// An update's Since is the arrival of the previous response: the changes were not listed then.
func TestUpdateSinceIsArrivalOfPreviousList(t *testing.T) {
	f := newFixture(t)
	f.Do(f.watcher.Watch)
	connection := f.accept()
	connection.poll()
	require.Zero(t, connection.sendList(6).Since, "nothing is known of the list before")
	before := f.Now()
	f.advance(minPollInterval)
	connection.poll()
	f.advance(watchWait)
	require.Equal(t, before, connection.sendList(6).Since)
}

// A service that is slow rather than silent, for example because of many callers, has time to
// respond to the last replacement.
func TestSlowServiceRespondsToLastReplacement(t *testing.T) {
	f := newFixture(t)
	f.Do(f.watcher.Watch)
	f.accept().poll()
	f.advance(watchWait + silenceGrace + servetest.ShortTime)
	f.accept().poll()
	f.advance(replacementTimeouts[0] + servetest.ShortTime)
	slow := f.accept()
	slow.poll()
	f.advance(3 * time.Second)
	slow.respond(6)
	require.Empty(t, f.Events)
}

// After the response to a replacement, the next poll has the usual wait and uses the same
// connection.
func TestWatchGoesOnAfterReplacedPoll(t *testing.T) {
	f := newFixture(t)
	f.Do(f.watcher.Watch)
	f.accept().poll()
	f.advance(watchWait + silenceGrace + servetest.ShortTime)
	replacement := f.accept()
	require.Equal(t, replacementOf(5), replacement.poll())
	replacement.respond(6)
	f.advance(minPollInterval)
	require.Equal(t, pollOf(6), replacement.poll())
	f.advance(watchWait + silenceGrace)
	require.Empty(t, f.Events)
}

// The service responds at once to a poll for the complete list, so its silence is noticed sooner
// than when it may hold the poll.
func TestSilentPollForCompleteListIsReplacedSooner(t *testing.T) {
	f := newFixture(t)
	f.Do(func() { f.watcher.Move(f.service.Addr().String()) })
	first := f.accept()
	require.Equal(t, listPath, first.poll())
	f.advance(slowServiceTimeout + servetest.ShortTime)
	first.RequireClosed()
	require.Equal(t, listPath, f.accept().poll())
	require.Empty(t, f.Events)
}

// If the service has gone silent and then refuses connections, the watch fails as soon as the
// replacements are used up, without waiting for a timeout.
func TestRefusedReplacementsFailTheWatch(t *testing.T) {
	f := newFixture(t)
	f.Do(f.watcher.Watch)
	f.accept().poll()
	require.NoError(t, f.service.Close())
	f.advance(watchWait + silenceGrace + servetest.ShortTime)
	require.Equal(t, core.EndpointUpdate{Kind: piernotch.UpdateFailed}, <-f.Events)
}

// Guards against requests to a server that has long been draining. The network silently dropped a
// watch and also the poll that replaced it. Each was noticed after 6 s, so that a change was known
// 12 s late. A change counts as notified 2 s after the wait of the poll that should have delivered
// it, and a drain gives 2 s more. The replacement had the timeout of a held poll, although it only
// has to show that the service responds.
func TestSilentReplacementOfSilentPollIsNoticedInTime(t *testing.T) {
	const countsAsNotified = watchWait + 2*time.Second
	f := newFixture(t)
	f.Do(f.watcher.Watch)
	f.accept().poll()
	f.advance(watchWait + silenceGrace + servetest.ShortTime)
	f.accept().poll()
	f.advance(countsAsNotified + drainGrace - (watchWait + silenceGrace) - 2*servetest.ShortTime)
	require.NoError(t, f.service.(*net.TCPListener).SetDeadline(time.Now().Add(time.Second)))
	f.accept().poll()
}

// A watch that restarts by itself sends the next poll restartDelay after a failure.
func TestPushWatchRestartsAfterFailure(t *testing.T) {
	f := newFixture(t)
	f.Do(f.watcher.WatchWithRestarts)
	first := f.accept()
	first.poll()
	require.NoError(t, first.Close())
	require.Equal(t, core.EndpointUpdate{Kind: piernotch.UpdateFailed}, <-f.Events)
	f.Do(func() {}) // wait until the restart is scheduled, which happens after the event is emitted
	f.advance(restartDelay - 1)
	active := false
	f.Do(func() { active = f.watcher.responseDue() })
	require.False(t, active)
	f.advance(1)
	require.Equal(t, pollOf(5), f.accept().poll())
}

// A watch that moves requests the complete list at the new address, and closes the old connection.
func TestMovedWatchRequestsCompleteList(t *testing.T) {
	f, other := newFixture(t), newFixture(t)
	f.Do(f.watcher.Watch)
	old := f.accept()
	old.poll()
	f.Do(func() { f.watcher.Move(other.service.Addr().String()) })
	old.RequireClosed()
	require.Equal(t, listPath, other.accept().poll())
	require.Empty(t, f.Events)
}
