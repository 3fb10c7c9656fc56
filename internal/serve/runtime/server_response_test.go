package runtime

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A response that is chunked, or that ends when the server closes the connection, is forwarded with its
// complete body.
func TestResponsesInEveryFramingAreForwarded(t *testing.T) {
	balancer, _ := startBalancer(t, startIdleDiscovery(t), startPeer(t, func(c net.Conn, r *bufio.Reader) {
		if head, _ := readMessage(r); strings.Contains(head, "chunked") {
			_, _ = io.WriteString(
				c,
				"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"+
					"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
			)
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nuntil the end")
	}))
	c := connect(t, balancer)
	for id, want := range map[string]string{"chunked": "abc", "closed": "until the end"} {
		_, body := c.request("GET", "/read", id, "")
		require.Equal(t, want, body)
	}
}

// A response without a length is complete when the server closes the connection normally. After a reset, the
// response is truncated and must not be forwarded as complete.
func TestResponseCutByResetIsNotComplete(t *testing.T) {
	balancer, _ := startBalancer(t, startIdleDiscovery(t), startPeer(t, func(c net.Conn, r *bufio.Reader) {
		head, _ := readMessage(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nuntil the")
		if strings.Contains(head, "later") {
			time.Sleep(20 * time.Millisecond) // by then the balancer has read the first part
		}
		_ = c.(*net.TCPConn).SetLinger(0) // Close sends a reset
	}))
	c := connect(t, balancer)
	for _, id := range []string{"at-once", "later"} {
		head, _ := c.request("POST", "/append", id, "x")
		require.Contains(t, head, "502 Bad Gateway", id)
	}
}

// An attempt that times out closes its connection. Otherwise the late response would be read as the response
// to the next request on that connection.
func TestTimedOutAttemptClosesItsConnection(t *testing.T) {
	ended := make(chan error, 8)
	balancer, _ := startBalancer(t, startIdleDiscovery(t), startPeer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			head, _ := readMessage(r)
			if head == "" {
				return
			}
			if strings.Contains(head, "slow") {
				_, err := r.ReadByte() // blocks until the balancer closes the connection
				ended <- err
				return
			}
			respond(c, "mine")
		}
	}))
	c := connect(t, balancer)
	head, _ := c.request("POST", "/append", "slow", "x")
	require.Contains(t, head, "504 Gateway Timeout")
	require.ErrorIs(t, <-ended, io.EOF)
	_, body := c.request("POST", "/append", "quick", "x")
	require.Equal(t, "mine", body)
}

// A malformed response may come from any server. The request counts as executed and is retried only if that is safe;
// the connection is not reused; the server is not ejected. Data after a valid response must not be read as the
// response to the next request.
func TestMalformedResponsesAreNotForwarded(t *testing.T) {
	good, garbage := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine", "\x00\xffHTTP\r\n\r\n"
	bad := "HTTP/1.1 200 OK\r\n"
	attempts := make(chan string, 64)
	script := func(c net.Conn, r *bufio.Reader) {
		for head, script := readMessage(r); head != ""; head, script = readMessage(r) {
			attempts <- script
			_, _ = io.WriteString(c, script)
		}
	}
	balancer, _ := startBalancer(
		t,
		startIdleDiscovery(t),
		startPeer(t, script),
		startPeer(t, script),
		startPeer(t, script),
		startPeer(t, script),
	)
	c := connect(t, balancer)
	status := func(script string) string {
		head, body := c.request("POST", "/append", "id", script)
		require.Len(t, attempts, 1, "sent once")
		require.Equal(t, script, <-attempts)
		return strings.Fields(head)[1] + body
	}
	for _, script := range []string{
		garbage, bad + strings.Repeat("a: b\r\n", 9000), bad + "Content-Length: 3000000000\r\n\r\nx",
		bad + "Content-Length: 9\r\nContent-Length: 3\r\n\r\nabc", bad + "Content-Length: 9\r\n\r\nabc",
		bad + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
	} {
		require.Contains(t, status(script), "502failed", script)
		require.Equal(t, "200mine", status(good), script)
	}
	for _, script := range []string{
		good + good, good + garbage, "HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + good,
		"HTTP/1.1 200 OK\r\nX-Load: \x01=,,\xff\r\nContent-Length: 4\r\n\r\nmine",
	} {
		require.Equal(t, "200mine", status(script), script)
		require.Equal(t, "200mine", status(good), script)
	}
}

// A server sends each response twice. A connection stays idle for a moment before it is reused; otherwise the
// duplicate could be read as the response to the next request.
func TestDuplicateResponseIsNotUsedForNextRequest(t *testing.T) {
	balancer, _ := startBalancer(t, startIdleDiscovery(t), startPeer(t, func(c net.Conn, r *bufio.Reader) {
		for head, body := readMessage(r); head != ""; head, body = readMessage(r) {
			respond(c, body)
			time.Sleep(time.Millisecond)
			respond(c, body)
		}
	}))
	c := connect(t, balancer)
	for _, want := range []string{"a", "b", "c", "d"} {
		_, body := c.request("POST", "/append", want, want)
		require.Equal(t, want, body)
	}
}

// Data that arrives on an idle server connection belongs to no request. It must not be read as the response
// to the next request.
func TestUnsolicitedDataOnIdleServerConnectionIsDiscarded(t *testing.T) {
	balancer, _ := startBalancer(t, startIdleDiscovery(t), startPeer(t, func(c net.Conn, r *bufio.Reader) {
		for head, body := readMessage(r); head != ""; head, body = readMessage(r) {
			respond(c, body)
			time.Sleep(30 * time.Millisecond)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwro")
		}
	}))
	c := connect(t, balancer)
	for i := range 5 {
		_, body := c.request("POST", "/append", fmt.Sprint(i), fmt.Sprint("mine-", i))
		require.Equal(t, fmt.Sprint("mine-", i), body)
		time.Sleep(50 * time.Millisecond)
	}
}
