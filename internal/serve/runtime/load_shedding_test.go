package runtime

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch/internal/serve/config"
	"piernotch/internal/serve/eventloop"
)

// More clients connect than there are descriptors. Idle connections must be closed so that every client is
// served.
func TestIdleClientConnectionsAreShed(t *testing.T) {
	longTimeouts := func(cfg *config.Config) { // no request may time out if the machine pauses for seconds
		cfg.DialTimeout = time.Minute
		for i := range cfg.Settings.Classes {
			cfg.Settings.Classes[i].LatencyObjective = time.Minute
			cfg.Settings.Classes[i].Deadline = time.Minute
		}
	}
	balancer, _ := startBalancerWith(t, longTimeouts, startIdleDiscovery(t), startNamedServer(t, "served"))
	for range 400 {
		_, body := connect(t, balancer).request("GET", "/read", "i", "")
		require.Equal(t, "served", body)
		require.Less(t, balancer.loop.OpenConnections(), balancer.cfg.MaxDescriptors)
	}
}

// When descriptors are short, idle connections are closed, but not a connection whose client is still reading
// a response.
func TestSlowlyReadResponseIsNotShed(t *testing.T) {
	body := strings.Repeat("a", 60<<10)
	balancer, _ := startBalancerWith(t, func(cfg *config.Config) { cfg.MaxDescriptors = 64 }, startIdleDiscovery(t),
		startPeer(t, func(c net.Conn, r *bufio.Reader) { readMessage(r); respond(c, body) }))
	c := connectWithSmallBuffer(t, balancer)
	c.send("GET /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: 1\r\nConnection: close\r\n\r\n")
	time.Sleep(50 * time.Millisecond)
	for range 40 { // more than the descriptor limit allows
		connect(t, balancer)
	}
	time.Sleep(100 * time.Millisecond)
	all, err := io.ReadAll(c.reader)
	require.NoError(t, err)
	require.True(t, strings.HasSuffix(string(all), "\r\n\r\n"+body), "%d bytes", len(all))
}

// When descriptors are short, a connection whose request has arrived but is not read yet must not be closed.
func TestConnectionWithUnreadRequestIsNotShed(t *testing.T) {
	var forwarded requestLog
	balancer, _ := startBalancer(t, startIdleDiscovery(t), startPeer(t, forwarded.serveEcho))
	c := connect(t, balancer)
	time.Sleep(100 * time.Millisecond) // longer than the minimum age at which Shed closes a silent connection
	resume := pauseLoop(balancer)
	balancer.loop.Post(balancer.shedClients)
	c.send("POST /append HTTP/1.1\r\nHost: b\r\nX-Request-Id: 2\r\nContent-Length: 4\r\n\r\nmine")
	time.Sleep(20 * time.Millisecond)
	resume()
	_, body := readMessage(c.reader)
	require.Equal(t, "mine", body)
}

// Some clients send one request and leave the connection open. It must be closed after a time, or it would
// hold a descriptor that other clients need.
func TestIdleClientConnectionIsClosed(t *testing.T) {
	balancer, _ := startBalancer(t, startIdleDiscovery(t), startNamedServer(t, "served"))
	c := connect(t, balancer)
	_, body := c.request("GET", "/read", "1", "")
	require.Equal(t, "served", body)
	_, err := c.reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// Half requests that fill the descriptors must not keep a complete request in the accept queue until half a second
// after its deadline.
func TestShortRequestIsAnsweredInTimeBesideHalfRequests(t *testing.T) {
	const (
		descriptors = 64
		maxClients  = (descriptors - eventloop.ReservedDescriptors) * 3 / 4 // connections that the balancer accepts
		deadline    = 200 * time.Millisecond
	)
	balancer, _ := startBalancerWith(t, func(cfg *config.Config) { cfg.MaxDescriptors = descriptors },
		startIdleDiscovery(t), startNamedServer(t, "served"))
	stopped := make(chan struct{})
	defer close(stopped)
	for range 3 * maxClients {
		go sendHalfRequests(balancer.Addr(), stopped) // ends with the test
	}
	for range 5 {
		time.Sleep(200 * time.Millisecond)
		c := connect(t, balancer)
		sent := time.Now()
		c.send(fmt.Sprintf("GET /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: 1\r\nX-Deadline-Ms: %d\r\n\r\n",
			deadline.Milliseconds()))
		head, _ := readMessage(c.reader)
		require.NotEmpty(t, head)
		require.Less(t, time.Since(sent), deadline+500*time.Millisecond)
	}
}

// sendHalfRequests keeps a connection with half a request open, and opens another one whenever the balancer closes it.
func sendHalfRequests(address string, stopped <-chan struct{}) {
	for {
		select {
		case <-stopped:
			return
		default:
		}
		c, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "POST /append HTTP/1.1\r\nHost: b\r\n")
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
	}
}

// Idle connections to servers must not keep clients in the accept queue.
func TestIdleServerConnectionsLeaveDescriptorsToClients(t *testing.T) {
	const (
		descriptors = 64
		limit       = descriptors - eventloop.ReservedDescriptors
	)
	var open, responses atomic.Int64
	server := startPeer(t, func(c net.Conn, in *bufio.Reader) {
		open.Add(1)
		defer open.Add(-1)
		for head, _ := readMessage(in); head != ""; head, _ = readMessage(in) {
			respond(c, fmt.Sprint(responses.Add(1)))
		}
	})
	balancer, _ := startBalancerWith(t, func(cfg *config.Config) { cfg.MaxDescriptors = descriptors },
		startIdleDiscovery(t), server)
	for range limit / 2 { // equal requests, each of which therefore gets a connection of its own
		c := connect(t, balancer)
		c.request("GET", "/read", "1", "")
		require.NoError(t, c.Close())
	}
	require.Greater(t, open.Load(), int64(limit/4))

	for range limit { // silent, so that some wait
		connect(t, balancer)
	}
	closed := func() bool { return open.Load() <= limit/4 }
	require.Eventually(t, closed, testTimeout/2, 10*time.Millisecond)
}
