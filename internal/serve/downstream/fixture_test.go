package downstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch"
	"piernotch/internal/serve/core"
	"piernotch/internal/serve/eventloop"
	"piernotch/internal/serve/memory"
	"piernotch/internal/serve/servetest"
)

// fixture is a Downstream on its own event loop, with a clock that the test sets.
type fixture struct {
	*servetest.Loop
	t          *testing.T
	listener   *eventloop.Listener
	downstream *Downstream
	accepted   chan *observedHandler

	requestMemory, responseMemory memory.Pool
}

// testMemory is the limit of the pools of memory, unless a test sets another one.
const testMemory = 16 << 20

// observedHandler reports the size of the data that the wrapped Handler has handled.
type observedHandler struct {
	eventloop.Handler
	received chan int // bytes per call of Data
}

func (h *observedHandler) Data(data []byte) {
	h.Handler.Data(data)
	h.received <- len(data)
}

// newFixture starts a Downstream that accepts clients until the test ends.
func newFixture(t *testing.T, maxDescriptors int) *fixture {
	t.Helper()
	f := &fixture{t: t, accepted: make(chan *observedHandler, 64), Loop: servetest.NewLoop(t)}
	f.requestMemory.SetLimit(testMemory)
	f.responseMemory.SetLimit(testMemory)
	f.downstream = New(Options{
		Emit: f.Emit, Now: f.Now, Ready: func() bool { return true }, MaxDescriptors: maxDescriptors,
		RequestMemory: &f.requestMemory, ResponseMemory: &f.responseMemory,
	})
	f.downstream.SetRoutes(
		[]core.Route{{Name: "read", Idempotent: true}},
		[]time.Duration{time.Minute},
		[]piernotch.Tenant{},
	)
	f.listener = f.ClientListener(func(socket *eventloop.Conn) eventloop.Handler {
		handler := &observedHandler{Handler: f.downstream.Accepted(socket), received: make(chan int, 64)}
		f.accepted <- handler
		return handler
	})
	require.NoError(t, f.listener.Listen("127.0.0.1:0"))
	t.Cleanup(f.listener.Stop)
	return f
}

// awaitRead waits until the poller has finished reading. Until then InputEmpty is false, even if the handlers have got
// all data.
func (f *fixture) awaitRead() {
	f.t.Helper()
	done := func() (empty bool) {
		f.Do(func() { empty = f.inputEmpty() })
		return empty
	}
	require.Eventually(f.t, done, servetest.Timeout, time.Millisecond)
}

// inputEmpty reports whether no connection has unread input. It must be called on the loop's owning goroutine.
func (f *fixture) inputEmpty() bool {
	for c := range f.downstream.connections {
		if !c.socket.InputEmpty() {
			return false
		}
	}
	return true
}

// advance waits until all input was read, moves the clock forward, and calls Tick, which enforces the timeouts.
func (f *fixture) advance(by time.Duration) {
	f.t.Helper()
	f.awaitRead()
	f.AdvanceClock(by)
	f.Do(f.downstream.Tick)
}

// connectionCount calls ConnectionCount on the loop's owning goroutine.
func (f *fixture) connectionCount() (count int) {
	f.Do(func() { count = f.downstream.ConnectionCount() })
	return count
}

// testClient is the client's side of a connection, and the handler of the Downstream's side.
type testClient struct {
	*fixture
	net.Conn
	reader  *bufio.Reader
	handler *observedHandler
}

// dial opens a connection, which is closed when the test ends.
func (f *fixture) dial() net.Conn {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.listener.Addr())
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = conn.Close() })
	require.NoError(f.t, conn.SetDeadline(time.Now().Add(servetest.Timeout)))
	return conn
}

// connect opens a connection and waits until it is accepted.
func (f *fixture) connect() *testClient {
	f.t.Helper()
	conn := f.dial()
	client := &testClient{fixture: f, Conn: conn, reader: bufio.NewReader(conn), handler: <-f.accepted}
	f.Do(func() {}) // wait: the loop registers the connection after it has created the handler
	return client
}

// send sends text and waits until the Downstream has handled all of it.
func (c *testClient) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c.Conn, text)
	require.NoError(c.t, err)
	for received := 0; received < len(text); {
		received += <-c.handler.received
	}
}

// status reads a response and returns its status code.
func (c *testClient) status() int {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	require.NoError(c.t, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(c.t, err)
	require.NoError(c.t, response.Body.Close())
	return response.StatusCode
}

// requireOpen checks that startClose was not called. It does not detect a close by closeNow, which Shed calls.
func (c *testClient) requireOpen() {
	c.t.Helper()
	closing := true
	c.Do(func() { closing = c.handler.Handler.(*connection).closing })
	require.False(c.t, closing)
}

// requireClosed waits for the Downstream to close its sending side, and checks that no more data comes before that.
func (c *testClient) requireClosed() {
	c.t.Helper()
	_, err := c.reader.ReadByte()
	require.ErrorIs(c.t, err, io.EOF)
}

// checkHealth requests healthPath, to which the Downstream responds without the core.
func (c *testClient) checkHealth() {
	c.t.Helper()
	c.send("GET " + healthPath + " HTTP/1.1\r\nHost: b\r\n\r\n")
	require.Equal(c.t, http.StatusOK, c.status())
}
