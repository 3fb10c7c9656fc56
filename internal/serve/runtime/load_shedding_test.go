package runtime

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch/internal/serve/config"
)

// More clients come than there are descriptors: connections that are idle are closed, and all clients are
// served.
func TestIdleClientConnectionsAreShed(t *testing.T) {
	patient := func(cfg *config.Config) { // a machine that stands still for seconds fails no request of this test
		cfg.DialTimeout = time.Minute
		for i := range cfg.Settings.Classes {
			cfg.Settings.Classes[i].LatencyObjective = time.Minute
			cfg.Settings.Classes[i].Deadline = time.Minute
		}
	}
	balancer, _ := startBalancerWith(t, patient, startIdleDiscovery(t), startNamedServer(t, "served"))
	for range 400 {
		_, body := connect(t, balancer).request("GET", "/read", "i", "")
		require.Equal(t, "served", body)
		require.Less(t, balancer.loop.OpenConnections(), balancer.cfg.MaxDescriptors)
	}
}

// Where descriptors are short, connections are closed, but none with a response that its client is slow
// to read.
func TestSlowlyReadResponseIsNotShed(t *testing.T) {
	body := strings.Repeat("a", 60<<10)
	balancer, _ := startBalancerWith(t, func(cfg *config.Config) { cfg.MaxDescriptors = 64 }, startIdleDiscovery(t),
		startPeer(t, func(c net.Conn, r *bufio.Reader) { readMessage(r); respond(c, body) }))
	c := connectWithSmallBuffer(t, balancer)
	c.send("GET /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: 1\r\nConnection: close\r\n\r\n")
	time.Sleep(50 * time.Millisecond)
	for range 40 { // more than there is room for
		connect(t, balancer)
	}
	time.Sleep(100 * time.Millisecond)
	all, err := io.ReadAll(c.reader)
	require.NoError(t, err)
	require.True(t, strings.HasSuffix(string(all), "\r\n\r\n"+body), "%d bytes", len(all))
}

// A connection that could be closed for its descriptor has just received a request, which was not read yet.
func TestConnectionWithUnreadRequestIsNotShed(t *testing.T) {
	var forwarded requestLog
	balancer, _ := startBalancer(t, startIdleDiscovery(t), startPeer(t, forwarded.serveEcho))
	c := connect(t, balancer)
	time.Sleep(100 * time.Millisecond) // it could be closed by now
	resume := pauseLoop(balancer)
	balancer.loop.Post(balancer.downstream.Shed)
	c.send("POST /append HTTP/1.1\r\nHost: b\r\nX-Request-Id: 2\r\nContent-Length: 4\r\n\r\nmine")
	time.Sleep(20 * time.Millisecond)
	resume()
	_, body := readMessage(c.reader)
	require.Equal(t, "mine", body)
}

// Some clients send one request and keep their connection: those must not hold for good what others need.
func TestIdleClientConnectionIsClosed(t *testing.T) {
	balancer, _ := startBalancer(t, startIdleDiscovery(t), startNamedServer(t, "served"))
	c := connect(t, balancer)
	_, body := c.request("GET", "/read", "1", "")
	require.Equal(t, "served", body)
	_, err := c.reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}
