package upstream

import (
	"bufio"
	"context"
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
	// testKeepAlive is after what time servers are said to close an idle connection.
	testKeepAlive = 4 * time.Second

	emptyResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	halfResponse  = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"
)

// fixture is an Upstream on an event loop of its own, whose clock the test sets, and one server, which
// the test plays.
type fixture struct {
	t        *testing.T
	loop     *eventloop.Loop
	upstream *Upstream
	clock    atomic.Int64
	events   chan core.Event
	server   net.Listener
	attempts int
}

// newFixture starts an Upstream, which runs until the test ends, and a server.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	loop, err := eventloop.New(256)
	require.NoError(t, err)
	server, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	f := &fixture{t: t, loop: loop, server: server, events: make(chan core.Event, 64)}
	f.clock.Store(int64(time.Hour))
	f.upstream = New(Options{
		Loop:        loop,
		Emit:        func(event core.Event) { f.events <- event },
		Now:         func() time.Duration { return time.Duration(f.clock.Load()) },
		KeepAlive:   testKeepAlive,
		DialTimeout: testTimeout,
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

// awaitRead waits until the poller, which reads the sockets, is done with what the server has sent: until
// then a connection counts as one with unread input, also where its data was handled.
func (f *fixture) awaitRead() {
	f.t.Helper()
	done := func() bool {
		empty := true
		f.do(func() {
			for _, connection := range f.connections() {
				empty = empty && connection.socket.InputEmpty()
			}
		})
		return empty
	}
	require.Eventually(f.t, done, testTimeout, shortTime)
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
	f.clock.Add(int64(by))
	f.do(f.upstream.Tick)
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
	f.attempts++
	ref := core.AttemptRef{Request: piernotch.RequestID(f.attempts)}
	f.do(func() {
		f.upstream.StartAttempt(core.StartAttempt{
			Ref:     ref,
			To:      f.endpoint(),
			Timeout: timeout,
			Message: &core.RequestMessage{Method: "GET", Target: "/", ID: "1"},
		})
	})
	require.Equal(f.t, core.AttemptConnected{Ref: ref}, <-f.events)
	f.do(func() { f.upstream.WriteAttempt(ref) })
	return ref
}

// serverConnection is the server's side of a connection.
type serverConnection struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

// accept accepts the connection that the Upstream opens next.
func (f *fixture) accept() *serverConnection {
	f.t.Helper()
	conn, err := f.server.Accept()
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = conn.Close() })
	require.NoError(f.t, conn.SetDeadline(time.Now().Add(testTimeout)))
	return &serverConnection{Conn: conn, t: f.t, reader: bufio.NewReader(conn)}
}

// request reads a request and returns its first line.
func (c *serverConnection) request() string {
	c.t.Helper()
	return c.requestHead()[0]
}

// requestHead reads a request and returns the lines of its head.
func (c *serverConnection) requestHead() []string {
	c.t.Helper()
	var head []string
	for {
		line, err := c.reader.ReadString('\n')
		require.NoError(c.t, err)
		if line == "\r\n" {
			return head
		}
		head = append(head, strings.TrimSpace(line))
	}
}

// respond sends text.
func (c *serverConnection) respond(text string) {
	c.t.Helper()
	_, err := io.WriteString(c.Conn, text)
	require.NoError(c.t, err)
}

// requireClosed waits until the Upstream has closed the connection.
func (c *serverConnection) requireClosed() {
	c.t.Helper()
	_, err := c.reader.ReadByte()
	require.ErrorIs(c.t, err, io.EOF)
}

// awaitResponseStart waits until a part of the response to an attempt was received.
func (f *fixture) awaitResponseStart(ref core.AttemptRef) {
	f.t.Helper()
	started := func() (started bool) {
		f.do(func() { started = f.upstream.attempts[ref].connection.responseStarted })
		return started
	}
	require.Eventually(f.t, started, testTimeout, shortTime)
}

// serveOne has the server respond to an attempt, and the connection become idle.
func (f *fixture) serveOne() *serverConnection {
	f.t.Helper()
	ref := f.startAttempt()
	connection := f.accept()
	connection.request()
	connection.respond(emptyResponse)
	require.Equal(f.t, core.AttemptCompleted{Ref: ref, Response: &core.ResponseMessage{}}, <-f.events)
	f.advance(settleTime)
	return connection
}

// idleConnections returns how many connections are ready for another attempt.
func (f *fixture) idleConnections() (count int) {
	f.do(func() {
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
	f.advance(shortTime)
	require.Zero(t, f.idleConnections())
	connection.requireClosed()
}

// A connection is not used again until the settle time has passed.
func TestConnectionSettlesAfterResponse(t *testing.T) {
	f := newFixture(t)
	f.startAttempt()
	connection := f.accept()
	connection.request()
	connection.respond(emptyResponse)
	<-f.events
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
	connection.request()
	connection.respond(halfResponse)
	f.awaitResponseStart(ref)
	f.advance(stallTimeout)
	require.Empty(t, f.events)
	f.advance(shortTime)
	require.Equal(t, core.AttemptCompleted{Ref: ref, Status: piernotch.Error}, <-f.events)
	connection.requireClosed()
}

// A response that has not begun has no timeout here: that of the attempt is the core's.
func TestSilentServerIsLeftToTheCore(t *testing.T) {
	f := newFixture(t)
	ref := f.startAttempt()
	connection := f.accept()
	connection.request()
	f.advance(time.Hour)
	require.Empty(t, f.events)
	f.do(func() { f.upstream.CancelAttempt(ref) })
	connection.requireClosed()
	require.Empty(t, f.events)
}

// A health check without a response is ended after its time, without an event: the core has its own timer.
func TestOverdueHealthCheckClosesItsConnection(t *testing.T) {
	f := newFixture(t)
	f.do(func() { f.upstream.HealthCheck(core.HealthCheck{To: f.endpoint()}) })
	connection := f.accept()
	require.Equal(t, "GET "+healthCheckTarget+" HTTP/1.1", connection.request())
	f.advance(core.HealthCheckTimeout)
	checks := 0
	f.do(func() { checks = len(f.upstream.healthChecks) })
	require.Equal(t, 1, checks)
	f.advance(shortTime)
	connection.requireClosed()
	require.Empty(t, f.events)
}

// Shed closes idle connections, and none that an attempt uses.
func TestShedClosesIdleConnectionsAlone(t *testing.T) {
	f := newFixture(t)
	idle := f.serveOne()
	ref := f.startAttempt() // takes the idle connection
	idle.request()
	other := f.startAttempt()
	used := f.accept()
	used.request()
	idle.respond(emptyResponse)
	require.Equal(t, core.AttemptCompleted{Ref: ref, Response: &core.ResponseMessage{}}, <-f.events)
	f.advance(settleTime)

	f.do(f.upstream.Shed)
	idle.requireClosed()
	used.respond(emptyResponse)
	require.Equal(t, core.AttemptCompleted{Ref: other, Response: &core.ResponseMessage{}}, <-f.events)
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
		require.Contains(t, f.accept().requestHead(), told)
	}
}
