package upstream

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch"
	"piernotch/internal/serve/core"
	"piernotch/internal/serve/servetest"
)

const (
	// testKeepAlive is after what time servers are said to close an idle connection.
	testKeepAlive = 4 * time.Second

	emptyResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	halfResponse  = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"
)

// fixture is an Upstream on an event loop of its own, whose clock the test sets, and one server, which
// the test plays.
type fixture struct {
	*servetest.Loop
	t        *testing.T
	upstream *Upstream
	server   net.Listener
	attempts int
}

// newFixture starts an Upstream, which runs until the test ends, and a server.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, server: servetest.Listen(t), Loop: servetest.NewLoop(t)}
	f.upstream = New(Options{
		Loop:        f.Loop.Loop,
		Emit:        f.Emit,
		Now:         f.Now,
		KeepAlive:   testKeepAlive,
		DialTimeout: servetest.Timeout,
	})
	return f
}

// awaitRead waits until the poller, which reads the sockets, is done with what the server has sent: until
// then a connection counts as one with unread input, also where its data was handled.
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

// connections returns the open connections. It is for the loop's owning goroutine.
func (f *fixture) connections() []*connection {
	var open []*connection
	for _, pool := range f.upstream.pools {
		open = append(open, pool.idle...)
		open = append(open, pool.settling...)
	}
	for _, attempt := range f.upstream.attempts {
		open = append(open, attempt.connection)
	}
	for check := range f.upstream.healthChecks {
		open = append(open, check.connection)
	}
	return open
}

// advance lets time pass, and then has the Upstream enforce its timeouts.
func (f *fixture) advance(by time.Duration) {
	f.t.Helper()
	f.awaitRead()
	f.AdvanceClock(by)
	f.Do(f.upstream.Tick)
}

// endpoint returns the server's.
func (f *fixture) endpoint() core.Endpoint {
	return core.Endpoint{Server: 1, Address: f.server.Addr().String()}
}

// startAttempt starts an attempt, and returns it once it has a connection and its request was written.
func (f *fixture) startAttempt() core.AttemptRef {
	f.t.Helper()
	return f.startAttemptWithin(time.Hour)
}

// startAttemptWithin does so for an attempt with a timeout.
func (f *fixture) startAttemptWithin(timeout time.Duration) core.AttemptRef {
	f.t.Helper()
	return f.startAttemptAt("/", timeout)
}

// startAttemptAt does so for a target.
func (f *fixture) startAttemptAt(target string, timeout time.Duration) core.AttemptRef {
	f.t.Helper()
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
	require.Equal(f.t, core.AttemptConnected{Ref: ref}, <-f.Events)
	f.Do(func() { f.upstream.WriteAttempt(ref) })
	return ref
}

// accept accepts the connection that the Upstream opens next.
func (f *fixture) accept() *servetest.Peer {
	f.t.Helper()
	return servetest.Accept(f.t, f.server)
}

// awaitResponseStart waits until a part of the response to an attempt was received.
func (f *fixture) awaitResponseStart(ref core.AttemptRef) {
	f.t.Helper()
	started := func() (started bool) {
		f.Do(func() { started = f.upstream.attempts[ref].connection.responseStarted })
		return started
	}
	require.Eventually(f.t, started, servetest.Timeout, servetest.ShortTime)
}

// serveOne has the server respond to an attempt, and the connection become idle.
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

// idleConnections returns how many connections are ready for another attempt.
func (f *fixture) idleConnections() (count int) {
	f.Do(func() {
		if pool := f.upstream.pools[f.endpoint()]; pool != nil {
			count = len(pool.idle)
		}
	})
	return count
}

// An idle connection is used again, until three quarters of the server's keep-alive time have passed.
func TestIdleConnectionIsClosedBeforeTheServerClosesIt(t *testing.T) {
	f := newFixture(t)
	connection := f.serveOne()
	f.advance(testKeepAlive * 3 / 4)
	require.Equal(t, 1, f.idleConnections())
	f.advance(servetest.ShortTime)
	require.Zero(t, f.idleConnections())
	connection.RequireClosed()
}

// A connection is not used again until the settle time has passed.
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

// A response that stops half-way fails its attempt, which may have been executed, and the connection is
// closed.
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

// A response that has not begun has no timeout here: that of the attempt is the core's.
func TestSilentServerIsLeftToTheCore(t *testing.T) {
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

// A health check without a response is ended after its time, without an event: the core has its own timer.
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

// Shed closes idle connections, and none that an attempt uses.
func TestShedClosesIdleConnectionsAlone(t *testing.T) {
	f := newFixture(t)
	idle := f.serveOne()
	ref := f.startAttempt() // takes the idle connection
	idle.RequestHead()
	other := f.startAttempt()
	used := f.accept()
	used.RequestHead()
	idle.Send(emptyResponse)
	require.Equal(t, core.AttemptCompleted{Ref: ref, Response: &core.ResponseMessage{}}, <-f.Events)
	f.advance(settleTime)

	f.Do(f.upstream.Shed)
	idle.RequireClosed()
	used.Send(emptyResponse)
	require.Equal(t, core.AttemptCompleted{Ref: other, Response: &core.ResponseMessage{}}, <-f.Events)
}

// A server that is told no deadline may work on a request for as long as it likes. So one is always told, also
// where less than the unit of the header is left.
func TestServerIsAlwaysToldADeadline(t *testing.T) {
	for told, timeout := range map[string]time.Duration{
		"X-Deadline-Ms: 1":  300 * time.Microsecond,
		"X-Deadline-Ms: 20": 20*time.Millisecond + 900*time.Microsecond,
	} {
		f := newFixture(t)
		f.startAttemptWithin(timeout)
		require.Contains(t, f.accept().RequestHead(), told)
	}
}
