package upstream

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch"
	"piernotch/internal/serve/core"
	"piernotch/internal/serve/memory"
	"piernotch/internal/serve/servetest"
)

const (
	// testKeepAlive is the configured time after which servers close an idle connection.
	testKeepAlive = 4 * time.Second

	emptyResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	halfResponse  = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"
)

// fixture is an Upstream on its own event loop, with a clock that the test sets. The test acts as the only server.
type fixture struct {
	*servetest.Loop
	t        *testing.T
	upstream *Upstream
	server   net.Listener
	attempts int

	requestMemory, responseMemory memory.Pool
}

// testMemory is the limit of the pools of memory, unless a test sets another one.
const testMemory = 16 << 20

// newFixture starts an Upstream and a server, which run until the test ends.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, server: servetest.Listen(t), Loop: servetest.NewLoop(t)}
	f.requestMemory.SetLimit(testMemory)
	f.responseMemory.SetLimit(testMemory)
	f.upstream = New(Options{
		Loop:        f.Loop.Loop,
		Emit:        f.Emit,
		Now:         f.Now,
		KeepAlive:   testKeepAlive,
		DialTimeout: servetest.Timeout,

		RequestMemory: &f.requestMemory, ResponseMemory: &f.responseMemory,
	})
	f.upstream.history.class("read").distinctInRow = distinctBeforeReuse // so that connections are reused
	return f
}

// awaitRead waits until the poller has finished reading. Until then InputEmpty is false, even if the handlers have got
// all data.
func (f *fixture) awaitRead() {
	f.t.Helper()
	done := func() bool {
		empty := true
		f.Do(func() {
			for _, connection := range f.connections() {
				empty = empty && connection.socket.InputEmpty()
			}
		})
		return empty
	}
	require.Eventually(f.t, done, servetest.Timeout, servetest.ShortTime)
}

// connections returns the open connections. It must be called on the loop's owning goroutine.
func (f *fixture) connections() []*connection {
	var open []*connection
	for _, pool := range f.upstream.pools {
		open = append(open, pool.idle...)
		open = append(open, pool.settling...)
	}
	for _, attempt := range f.upstream.attempts {
		if attempt.connection != nil {
			open = append(open, attempt.connection)
		}
	}
	for check := range f.upstream.healthChecks {
		open = append(open, check.connection)
	}
	return open
}

// idle returns the idle connections to the endpoint.
func (f *fixture) idle() (idle []*connection) {
	f.Do(func() { idle = f.upstream.poolFor(f.endpoint()).idle })
	return idle
}

// advance waits until all input was read, moves the clock forward, and calls Tick, which enforces the timeouts.
func (f *fixture) advance(by time.Duration) {
	f.t.Helper()
	f.awaitRead()
	f.AdvanceClock(by)
	f.Do(f.upstream.Tick)
}

// endpoint returns the endpoint at which the test acts as the server.
func (f *fixture) endpoint() core.Endpoint {
	return core.Endpoint{Server: 1, Address: f.server.Addr().String()}
}

// startAttempt starts an attempt with a target of its own and a timeout of one hour, and waits until its request was
// written.
func (f *fixture) startAttempt() core.AttemptRef {
	f.t.Helper()
	return f.startAttemptWithin(time.Hour)
}

// startAttemptWithin is startAttempt with the given timeout.
func (f *fixture) startAttemptWithin(timeout time.Duration) core.AttemptRef {
	f.t.Helper()
	return f.startAttemptAt(fmt.Sprintf("/read?k=%d", f.attempts), timeout)
}

// startAttemptAt is startAttempt with the given target and timeout.
func (f *fixture) startAttemptAt(target string, timeout time.Duration) core.AttemptRef {
	f.t.Helper()
	ref := f.startAttemptBeforeConnection(target, timeout)
	require.Equal(f.t, core.AttemptConnected{Ref: ref}, <-f.Events)
	f.Do(func() { f.upstream.WriteAttempt(ref) })
	return ref
}

// startAttemptBeforeConnection starts an attempt and does not wait for its connection.
func (f *fixture) startAttemptBeforeConnection(target string, timeout time.Duration) core.AttemptRef {
	f.attempts++
	ref := core.AttemptRef{Request: piernotch.RequestID(f.attempts)}
	f.Do(func() {
		f.upstream.StartAttempt(core.StartAttempt{
			Ref:     ref,
			To:      f.endpoint(),
			Timeout: timeout,
			Message: &core.RequestMessage{Method: "GET", Target: target, ID: "1"},
		})
	})
	return ref
}

// accept accepts the next connection that the Upstream opens.
func (f *fixture) accept() *servetest.Peer {
	f.t.Helper()
	return servetest.Accept(f.t, f.server)
}

// awaitResponseStart waits until part of the response to an attempt was received.
func (f *fixture) awaitResponseStart(ref core.AttemptRef) {
	f.t.Helper()
	started := func() (started bool) {
		f.Do(func() { started = f.upstream.attempts[ref].connection.responseStarted })
		return started
	}
	require.Eventually(f.t, started, servetest.Timeout, servetest.ShortTime)
}

// serveOne starts an attempt, responds to it as the server, and returns the connection once the connection is idle.
func (f *fixture) serveOne() *servetest.Peer {
	f.t.Helper()
	ref := f.startAttempt()
	connection := f.accept()
	connection.RequestHead()
	connection.Send(emptyResponse)
	require.Equal(f.t, core.AttemptCompleted{Ref: ref, Response: &core.ResponseMessage{}}, <-f.Events)
	f.advance(settleTime)
	return connection
}

// idleConnections returns the number of connections that are ready for another attempt.
func (f *fixture) idleConnections() (count int) {
	f.Do(func() {
		if pool := f.upstream.pools[f.endpoint()]; pool != nil {
			count = len(pool.idle)
		}
	})
	return count
}

// A request that is written while the server closes an idle connection is lost. So the Upstream closes an idle
// connection first, after three quarters of the server's keep-alive time.
func TestIdleConnectionIsClosedBeforeTheServerClosesIt(t *testing.T) {
	f := newFixture(t)
	connection := f.serveOne()
	f.advance(testKeepAlive * 3 / 4)
	require.Equal(t, 1, f.idleConnections())
	f.advance(servetest.ShortTime)
	require.Zero(t, f.idleConnections())
	connection.RequireClosed()
}

// Surplus bytes behind a response would be read as the next response if the connection were reused at once.
func TestConnectionSettlesAfterResponse(t *testing.T) {
	f := newFixture(t)
	f.startAttempt()
	connection := f.accept()
	connection.RequestHead()
	connection.Send(emptyResponse)
	<-f.Events
	f.advance(settleTime - 1)
	require.Zero(t, f.idleConnections())
	f.advance(1)
	require.Equal(t, 1, f.idleConnections())
}

// An attempt whose response stalls must fail as one that the server may have executed. Its connection must be closed.
func TestStalledResponseFailsItsAttempt(t *testing.T) {
	f := newFixture(t)
	ref := f.startAttempt()
	connection := f.accept()
	connection.RequestHead()
	connection.Send(halfResponse)
	f.awaitResponseStart(ref)
	f.advance(stallTimeout)
	require.Empty(t, f.Events)
	f.advance(servetest.ShortTime)
	require.Equal(t, core.AttemptCompleted{Ref: ref, Status: piernotch.Error}, <-f.Events)
	connection.RequireClosed()
}

// The core enforces the timeout of attempts: Upstream must not fail an attempt whose response has not started.
func TestUnansweredAttemptIsNotTimedOut(t *testing.T) {
	f := newFixture(t)
	ref := f.startAttempt()
	connection := f.accept()
	connection.RequestHead()
	f.advance(time.Hour)
	require.Empty(t, f.Events)
	f.Do(func() { f.upstream.CancelAttempt(ref) })
	connection.RequireClosed()
	require.Empty(t, f.Events)
}

// A health check without a response must not keep its connection. The check ends without an event, because the core
// has its own timer.
func TestOverdueHealthCheckClosesItsConnection(t *testing.T) {
	f := newFixture(t)
	f.Do(func() { f.upstream.HealthCheck(core.HealthCheck{To: f.endpoint()}) })
	connection := f.accept()
	require.Equal(t, "GET "+healthCheckTarget+" HTTP/1.1", connection.RequestHead()[0])
	f.advance(core.HealthCheckTimeout)
	checks := 0
	f.Do(func() { checks = len(f.upstream.healthChecks) })
	require.Equal(t, 1, checks)
	f.advance(servetest.ShortTime)
	connection.RequireClosed()
	require.Empty(t, f.Events)
}

// Shed must not close a connection that an attempt uses.
func TestShedClosesOnlyIdleConnections(t *testing.T) {
	f := newFixture(t)
	idle := f.serveOne()
	ref := f.startAttempt() // uses the idle connection
	idle.RequestHead()
	other := f.startAttempt()
	used := f.accept()
	used.RequestHead()
	idle.Send(responseWith("second"))
	f.requireServed(ref, "second")
	f.advance(settleTime)

	f.Do(func() { f.upstream.Shed(1) }) // the only idle one may stay
	require.Len(t, f.idle(), 1)
	f.Do(func() { f.upstream.Shed(0) })
	idle.RequireClosed()
	used.Send(emptyResponse)
	require.Equal(t, core.AttemptCompleted{Ref: other, Response: &core.ResponseMessage{}}, <-f.Events)
}

// A server that gets no deadline may work on a request forever. So X-Deadline-Ms is always sent, even if less than its
// unit of 1 ms is left.
func TestRequestAlwaysCarriesADeadline(t *testing.T) {
	for told, timeout := range map[string]time.Duration{
		"X-Deadline-Ms: 1":  300 * time.Microsecond,
		"X-Deadline-Ms: 20": 20*time.Millisecond + 900*time.Microsecond,
	} {
		f := newFixture(t)
		f.startAttemptWithin(timeout)
		require.Contains(t, f.accept().RequestHead(), told)
	}
}
