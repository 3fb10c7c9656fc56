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

	"piernotch"
	"piernotch/internal/serve/config"
)

// A retry waits until its connection is established. The retry is sent only if that happens within the
// deduplication window.
func TestRetryWaitsForDialWithinDedupWindow(t *testing.T) {
	for _, test := range []struct {
		window     time.Duration
		executions int
	}{{4 * time.Second, 1}, {600 * time.Millisecond, 0}} {
		t.Run(test.window.String(), func(t *testing.T) {
			t.Parallel()
			var forwarded requestLog
			resetServer := func(c net.Conn, r *bufio.Reader) { // reads the request, which may then have been executed
				head, _ := readMessage(r)
				for head != "" && !strings.Contains(head, "X-Request-Id: again") {
					respond(c, "warm")
					head, _ = readMessage(r)
				}
			}
			server, unblock := startBlockedPeer(t, forwarded.serveEcho)
			balancer, _ := startBalancerWith(t, func(cfg *config.Config) {
				cfg.DialTimeout = 4 * time.Second
				class := &cfg.Settings.Classes[1]
				class.RetrySafety = piernotch.IdempotencyKey
				class.DedupWindow = test.window
				class.LatencyObjective = 4 * time.Second
				// The second server is in another zone, so all requests go to the first until it fails.
				cfg.Settings.Zones = []string{"a", "b"}
				cfg.KnownEndpoints.Endpoints[1].Endpoint.Zone = 1
			}, startIdleDiscovery(t), startPeer(t, resetServer), server)
			c := connect(t, balancer)
			for i := range 10 { // the retry budget grows with requests
				_, body := c.request("GET", "/read", fmt.Sprint("warm-", i), "")
				require.Equal(t, "warm", body)
			}
			c.send("POST /append HTTP/1.1\r\nHost: b\r\nX-Request-Id: again\r\nContent-Length: 4\r\n\r\nmine")
			time.Sleep(100 * time.Millisecond)
			unblock() // the kernel sends the next SYN one second after the first
			head, _ := readMessage(c.reader)
			require.Equal(t, test.executions, forwarded.count("again"), head)
			require.Equal(t, test.executions == 1, strings.Contains(head, " 200 "), head)
		})
	}
}

// A connection is reset long after its request was sent. The request may have been executed, so the retry
// safety of its class decides whether it is retried.
func TestLateResetFollowsRetrySafety(t *testing.T) {
	for name, test := range map[string]struct {
		safety     piernotch.RetrySafety
		window     time.Duration
		status     string
		executions int
	}{
		"idempotent":      {piernotch.Idempotent, 0, " 200 ", 2},
		"idempotency key": {piernotch.IdempotencyKey, 2 * time.Second, " 200 ", 2},
		// Rejected instead of failed: a retry by the client does no harm.
		"idempotency key, window is over": {piernotch.IdempotencyKey, 300 * time.Millisecond, " 503 ", 1},
		"not idempotent":                  {piernotch.NonIdempotent, 0, " 502 ", 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var forwarded requestLog
			reset := make(chan struct{}, 1)
			reset <- struct{}{}
			script := func(c net.Conn, r *bufio.Reader) {
				for head, body := readMessage(r); head != ""; head, body = readMessage(r) {
					forwarded.record(head)
					if strings.Contains(head, "X-Request-Id: long") {
						select {
						case <-reset:
							time.Sleep(600 * time.Millisecond)
							_ = c.(*net.TCPConn).SetLinger(0)
							return
						default:
						}
					}
					respond(c, body)
				}
			}
			balancer, _ := startBalancerWith(t, func(cfg *config.Config) {
				class := &cfg.Settings.Classes[1]
				class.RetrySafety = test.safety
				class.DedupWindow = test.window
				if test.safety == piernotch.Idempotent {
					class.Name = "look"
				}
			}, startIdleDiscovery(t), startPeer(t, script), startPeer(t, script))
			c := connect(t, balancer)
			method, target := "POST", "/append"
			if test.safety == piernotch.Idempotent {
				method, target = "GET", "/look"
			}
			for i := range 20 { // the retry budget grows with requests, and server latencies become known
				_, _ = c.request("GET", "/read", fmt.Sprint("warm-", i), "")
			}
			head, _ := c.request(method, target, "long", "")
			require.Contains(t, head, test.status)
			require.Equal(t, test.executions, forwarded.count("long"))
		})
	}
}

// A request that may have been executed is neither retried nor reported as rejected. A request that a server
// did not execute is reported as rejected.
func TestPossiblyExecutedRequestIsNotRetried(t *testing.T) {
	attempts := make(chan string, 16)
	script := func(c net.Conn, r *bufio.Reader) {
		head, _ := readMessage(r)
		attempts <- head
		if strings.Contains(head, "full") {
			_, _ = io.WriteString(
				c,
				"HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
			)
		}
	}
	balancer, _ := startBalancer(t, startIdleDiscovery(t), startPeer(t, script), startPeer(t, script))
	c := connect(t, balancer)
	head, _ := c.request("POST", "/append", "broken", "x")
	require.Contains(t, head, "502 Bad Gateway")
	require.Len(t, attempts, 1)
	head, _ = c.request("POST", "/append", "full", "x")
	require.Contains(t, head, "503 Service Unavailable")
}

// A server does not complete its response: it falls silent, closes or resets the connection, or never ends
// the body. The request may have been executed, so it is retried if that is safe and fails otherwise. The client
// always gets a response in time.
func TestTruncatedServerResponseIsRetriedOnlyIfSafe(t *testing.T) {
	endlessBody := func(c net.Conn, _ *bufio.Reader) {
		for _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"); err == nil; _, err = io.WriteString(c, "a") {
			time.Sleep(20 * time.Millisecond)
		}
	}
	for name, stop := range map[string]func(net.Conn, *bufio.Reader){
		"silence": func(c net.Conn, r *bufio.Reader) { _, _ = io.WriteString(c, "HTTP/1.1 2"); readMessage(r) },
		"close":   func(c net.Conn, _ *bufio.Reader) { _, _ = io.WriteString(c, "HTTP/1.1 2") },
		"reset": func(c net.Conn, _ *bufio.Reader) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhalf")
			time.Sleep(5 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		},
		"no end": endlessBody,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var forwarded requestLog
			balancer, _ := startBalancer(t, startIdleDiscovery(t), startPeer(t, func(c net.Conn, r *bufio.Reader) {
				head, _ := readMessage(r)
				forwarded.record(head)
				stop(c, r)
			}))
			for _, test := range []struct{ method, target, status string }{
				{"GET", "/read", " 503 "},
				{"POST", "/append", " 50"},
			} {
				c := connect(t, balancer)
				began := time.Now()
				c.send(fmt.Sprintf(
					"%s %s HTTP/1.1\r\nHost: b\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 700\r\nContent-Length: 0\r\n\r\n",
					test.method,
					test.target,
					test.method,
				))
				head, _ := readMessage(c.reader)
				require.Contains(t, head, test.status)
				if test.method == "POST" && forwarded.count("POST") > 0 {
					require.NotContains(t, head, " 503 ", "the request may have been executed")
				}
				require.LessOrEqual(t, forwarded.count("POST"), 1)
				require.Less(t, time.Since(began), 1200*time.Millisecond)
			}
		})
	}
}
