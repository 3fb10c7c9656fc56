package runtime

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch/internal/serve/eventloop"
)

// A request that is read right after a stall may have waited in its socket for the whole stall. The wait
// counts against the request's deadline; otherwise the response would be too late.
func TestStallCountsAgainstDeadline(t *testing.T) {
	forwarded := make(chan string, 8)
	balancer, _ := startBalancer(t, startIdleDiscovery(t), startPeer(t, func(c net.Conn, r *bufio.Reader) {
		for head, _ := readMessage(r); head != ""; head, _ = readMessage(r) {
			forwarded <- head
			respond(c, "served")
		}
	}))
	c := connect(t, balancer)
	_, body := c.request("GET", "/read", "1", "")
	require.Equal(t, "served", body)
	<-forwarded
	paused := make(chan struct{})
	balancer.loop.Post(func() {
		close(paused)
		time.Sleep(700 * time.Millisecond)
	})
	<-paused
	c.send("GET /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: 2\r\nX-Deadline-Ms: 400\r\n\r\n")
	head, _ := readMessage(c.reader)
	require.Contains(t, head, " 503 ", "rejected: no server received it")
	require.Empty(t, forwarded)
	require.Eventually(t, func() bool {
		_, body = c.request("GET", "/read", "3", "")
		return body == "served"
	}, testTimeout, 10*time.Millisecond)
}

// During a stall, a request arrives, and then the update that the only server is draining. The update must be
// handled first, or the request would still go to that server.
func TestEndpointUpdateIsHandledFirstAfterStall(t *testing.T) {
	forwarded := make(chan string, 8)
	update := make(chan string, 1)
	watching := make(chan struct{}, 8)
	server := startPeer(t, func(c net.Conn, r *bufio.Reader) {
		for head, _ := readMessage(r); head != ""; head, _ = readMessage(r) {
			forwarded <- head
			respond(c, "served")
		}
	})
	balancer, _ := startBalancer(t, startPeer(t, func(c net.Conn, r *bufio.Reader) {
		readMessage(r)
		watching <- struct{}{}
		respond(c, <-update)
		readMessage(r)
		readMessage(r)
	}), server)
	c := connect(t, balancer)
	_, body := c.request("GET", "/read", "1", "")
	require.Equal(t, "served", body)
	<-forwarded
	<-watching
	resume := pauseLoop(balancer)
	c.send("GET /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: 2\r\n\r\n")
	time.Sleep(eventloop.LongStallThreshold) // by then the request is in the mailbox
	update <- endpointList(2, false, "terminating", server)
	time.Sleep(100 * time.Millisecond)
	resume()
	head, _ := readMessage(c.reader)
	require.Contains(t, head, " 503 ")
	require.Empty(t, forwarded)
}
