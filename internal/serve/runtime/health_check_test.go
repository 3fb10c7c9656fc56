package runtime

import (
	"bufio"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A server that answers no request is ejected, and answers no health check either. The health check must then
// close its connection; otherwise the descriptor stays open for good.
func TestHealthCheckWithoutResponseClosesItsConnection(t *testing.T) {
	closed := make(chan string, 64)
	balancer, _ := startBalancer(t, startIdleDiscovery(t), startPeer(t, func(c net.Conn, r *bufio.Reader) {
		head, _ := readMessage(r)
		if strings.HasPrefix(head, "POST") {
			return // a failure, which counts against the server
		}
		readMessage(r) // blocks until the balancer closes the connection
		closed <- head
	}))
	c := connect(t, balancer)
	for range 3 { // three failures eject the server
		head, _ := c.request("POST", "/append", "i", "x")
		require.Contains(t, head, "502")
	}
	select {
	case head := <-closed:
		require.True(t, strings.HasPrefix(head, "GET /ping "), head)
	case <-time.After(testTimeout):
		t.Fatal("the health check's connection is still open")
	}
}
