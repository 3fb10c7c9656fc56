package runtime

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A valid request is forwarded with its target, ID, idempotency key and body unchanged. A request with an
// invalid route, method or framing is rejected.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	balancer, _ := startBalancer(t, startIdleDiscovery(t), startPeer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			head, body := readMessage(r)
			if head == "" {
				return
			}
			respond(c, head+body)
		}
	}))
	c := connect(t, balancer)
	head, echo := c.request("POST", "/append/x?k=7f&z=%20", "id-1", "payload")
	require.Contains(t, head, "200 OK")
	require.Contains(t, echo, "POST /append/x?k=7f&z=%20 HTTP/1.1\r\n")
	require.Contains(t, echo, "X-Request-Id: id-1\r\n")
	require.True(t, strings.HasSuffix(echo, "\r\n\r\npayload"))
	c.send(
		"POST /append HTTP/1.1\r\nHost: b\r\nX-Request-Id: id-1\r\nidempotency-key: 52247c10\r\n" +
			"Content-Length: 1\r\n\r\nx",
	)
	_, echo = readMessage(c.reader)
	require.Contains(t, echo, "Idempotency-Key: 52247c10\r\n", "servers recognize a retry by its key")
	_, echo = c.request("GET", "/read?k=1", "id-1", "") // the ID of a completed request may be reused
	require.NotContains(t, echo, "Idempotency-Key")
	require.Contains(t, echo, "GET /read?k=1 HTTP/1.1\r\n")
	for target, want := range map[string]string{
		"GET /_health": "200",
		"GET /else":    "404",
		"GET /append":  "405",
		"POST /read":   "405",
	} {
		method, path, _ := strings.Cut(target, " ")
		head, _ = c.request(method, path, "id-2", "")
		require.Contains(t, head, "HTTP/1.1 "+want, target)
	}
	c.send("GET /read HTTP/1.1\r\nHost: b\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n")
	head, _ = readMessage(c.reader)
	require.Contains(t, head, "400 Bad Request")
	_, err := c.reader.ReadByte()
	require.ErrorIs(t, err, io.EOF, "the connection is closed after an error")
}

// Requests that are invalid or incomplete, or that reuse a pending request's ID, are rejected and not forwarded.
// So are requests that servers could parse differently from the balancer (request smuggling).
func TestMalformedRequestsAreRejected(t *testing.T) {
	forwarded := make(chan string, 64)
	release := make(chan struct{})
	balancer, _ := startBalancer(t, startIdleDiscovery(t), startPeer(t, func(c net.Conn, r *bufio.Reader) {
		for head, _ := readMessage(r); head != ""; head, _ = readMessage(r) {
			forwarded <- head
			<-release
			respond(c, "served")
		}
	}))
	pending := connect(t, balancer)
	pending.send("GET /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: open\r\n\r\n")
	require.Contains(t, <-forwarded, "open")
	get, post := "GET /read HTTP/1.1\r\nHost: b\r\n", "POST /append HTTP/1.1\r\nHost: b\r\n"
	for text, want := range map[string]string{
		get + "\r\n": "400", // no X-Request-Id
		get + "X-Request-Id: 1\r\nX-Request-Id: 2\r\n\r\n":                                                "400",
		get + "X-Request-Id: open\r\n\r\n":                                                                "409",
		get + "X-Request-Id: 1\r\nX-Deadline-Ms: soon\r\n\r\n":                                            "400",
		get + "X-Request-Id: 1\r\nX-Deadline-Ms: -5\r\n\r\n":                                              "400",
		get + "X-Request-Id: 1\r\nContent-Length: 1\r\n\r\nx":                                             "400",
		get + "X-Request-Id: 1\r\n\r\n" + get + "X-Request-Id: 2\r\n\r\n":                                 "400",
		post + "X-Request-Id: 1\r\n\r\n":                                                                  "400",
		post + "X-Request-Id: 1\r\nIdempotency-Key: 1\r\nIdempotency-Key: 2\r\nContent-Length: 0\r\n\r\n": "400",
		post + "X-Request-Id: 1\r\nContent-Length: 2\r\n\r\nlong":                                         "400",
		post + "X-Request-Id: 1\r\nContent-Length: -2\r\n\r\nxx":                                          "400",
		post + "X-Request-Id: 1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n":      "400",
	} {
		c := connect(t, balancer)
		c.send(text)
		head, _ := readMessage(c.reader)
		require.Contains(t, head, "HTTP/1.1 "+want, text)
	}
	close(release)
	_, body := readMessage(pending.reader)
	require.Equal(t, "served", body)
	for _, text := range []string{post + "X-Request-Id: 1\r\nContent-Length: 9\r\n\r\nhalf", "GET /read", ""} {
		c := connect(t, balancer)
		c.send(text)
		head, _ := readMessage(c.reader)
		if text == "" {
			require.Empty(t, head, "a connection without a request is closed")
			continue
		}
		require.Contains(t, head, "HTTP/1.1 408", text)
	}
	require.Empty(t, forwarded)
}

// A client must be able to go on sending a body that was rejected as too large. Otherwise its connection is
// reset, and the client's kernel may discard the response.
func TestBodyTooLargeIsRejected(t *testing.T) {
	balancer, _ := startBalancer(t, startIdleDiscovery(t))
	c := connect(t, balancer)
	c.send("POST /append HTTP/1.1\r\nHost: b\r\nContent-Length: 900000\r\n\r\n")
	head, _ := readMessage(c.reader)
	require.Contains(t, head, "413 Content Too Large")
	_, err := c.reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	for range 9 {
		c.send(strings.Repeat("x", 100000))
	}
}

// A body that is too large is rejected before all of it has arrived, and the client receives the response
// while it keeps sending.
func TestBodyTooLargeResponseArrivesDuringUpload(t *testing.T) {
	balancer, _ := startBalancer(t, startIdleDiscovery(t), startPeer(t, func(net.Conn, *bufio.Reader) {}))
	c := connect(t, balancer)
	c.send("POST /append HTTP/1.1\r\nHost: b\r\nX-Request-Id: 1\r\nContent-Length: 99999999\r\n\r\n")
	for range 20 {
		c.send(strings.Repeat("a", 4<<10))
		time.Sleep(5 * time.Millisecond)
	}
	all, err := io.ReadAll(c.reader)
	require.NoError(t, err, "an end, and no reset")
	require.Contains(t, string(all), " 413 ")
}

// A request that arrives byte by byte is served. A request that stays incomplete gets a 408 and is not
// forwarded.
func TestSlowClientIsServedUntilReadTimeout(t *testing.T) {
	var forwarded requestLog
	balancer, _ := startBalancer(t, startIdleDiscovery(t), startPeer(t, forwarded.serveEcho))
	c := connect(t, balancer)
	request := "POST /append HTTP/1.1\r\nHost: b\r\nX-Request-Id: slow\r\nContent-Length: 4\r\n\r\nmine"
	for _, b := range []byte(request) {
		_, err := c.Write([]byte{b})
		require.NoError(t, err)
		time.Sleep(5 * time.Millisecond)
	}
	_, body := readMessage(c.reader)
	require.Equal(t, "mine", body)
	c = connect(t, balancer)
	c.send("POST /append HTTP/1.1\r\nHost: b\r\nX-Request-Id: half\r\nContent-Length: 4\r\n\r\nmi")
	head, _ := readMessage(c.reader)
	require.Contains(t, head, "408")
	require.Zero(t, forwarded.count("half"))
}

// Bytes that arrive after the last request of a connection must not destroy its response: closing a socket
// with unread bytes sends a reset, and the client loses what it has not received yet. The client's receive
// buffer is small, so most of the response is still on the balancer's side when the bytes arrive.
func TestDataAfterLastRequestDoesNotResetResponse(t *testing.T) {
	body := strings.Repeat("a", 60<<10)
	for _, size := range []int{24 << 10, 60 << 10} { // the response fits into the kernel's buffers, or not
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			balancer, _ := startBalancer(
				t,
				startIdleDiscovery(t),
				startPeer(t, func(c net.Conn, r *bufio.Reader) { readMessage(r); respond(c, body[:size]) }),
			)
			c := connectWithSmallBuffer(t, balancer)
			c.send("GET /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: 1\r\nConnection: close\r\n\r\n")
			time.Sleep(100 * time.Millisecond)
			c.send("GET /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: 2\r\n\r\n")
			time.Sleep(100 * time.Millisecond)
			all, err := io.ReadAll(c.reader)
			require.NoError(t, err, "an end, and no reset")
			require.True(t, strings.HasSuffix(string(all), "\r\n\r\n"+body[:size]), "%d bytes", len(all))
		})
	}
}

// connectWithSmallBuffer opens a connection with a small receive buffer, which holds little unread data.
func connectWithSmallBuffer(t *testing.T, balancer *Balancer) *client {
	t.Helper()
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 2<<10)
		})
	}}
	nc, err := d.Dial("tcp", balancer.Addr())
	require.NoError(t, err)
	t.Cleanup(func() { _ = nc.Close() })
	_ = nc.SetDeadline(time.Now().Add(testTimeout))
	return &client{t, nc, bufio.NewReader(nc)}
}
