package runtime

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch/internal/serve/eventloop"
)

// A process that stood still must not take what waited in its sockets for new: it would be served
// after its client's time.
func TestWhatCameDuringAStallIsThatOld(t *testing.T) {
	asked := make(chan string, 8)
	n, _ := start(t, quiet(t), peer(t, func(c net.Conn, r *bufio.Reader) {
		for head, _ := message(r); head != ""; head, _ = message(r) {
			asked <- head
			answer(c, "served")
		}
	}))
	c := connect(t, n)
	_, body := c.ask("GET", "/read", "1", "")
	require.Equal(t, "served", body)
	<-asked
	stopped := make(chan struct{})
	n.loop.Post(func() {
		close(stopped)
		time.Sleep(700 * time.Millisecond)
	})
	<-stopped
	c.send("GET /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: 2\r\nX-Deadline-Ms: 400\r\n\r\n")
	head, _ := message(c.r)
	require.Contains(t, head, " 503 ", "refused, which is true: it went to nobody")
	require.Empty(t, asked)
	require.Eventually(t, func() bool {
		_, body = c.ask("GET", "/read", "3", "")
		return body == "served"
	}, patience, 10*time.Millisecond)
}

// Word that a server leaves may come while the process stands still, behind a request: after the
// stall it is heard first, or the request would go there long after it was told.
func TestWhatTheListSaysIsHeardFirstAfterAStall(t *testing.T) {
	asked, tell, watching := make(chan string, 8), make(chan string, 1), make(chan struct{}, 8)
	server := peer(t, func(c net.Conn, r *bufio.Reader) {
		for head, _ := message(r); head != ""; head, _ = message(r) {
			asked <- head
			answer(c, "served")
		}
	})
	n, _ := start(t, peer(t, func(c net.Conn, r *bufio.Reader) {
		message(r)
		watching <- struct{}{}
		answer(c, <-tell)
		message(r)
		message(r)
	}), server)
	c := connect(t, n)
	_, body := c.ask("GET", "/read", "1", "")
	require.Equal(t, "served", body)
	<-asked
	<-watching
	stopped, goOn := make(chan struct{}), make(chan struct{})
	n.loop.Post(func() {
		close(stopped)
		<-goOn
	})
	<-stopped
	c.send("GET /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: 2\r\n\r\n")
	time.Sleep(eventloop.LongStallThreshold) // and the request is in the mailbox
	tell <- list(2, false, "terminating", server)
	time.Sleep(100 * time.Millisecond)
	close(goOn)
	head, _ := message(c.r)
	require.Contains(t, head, " 503 ")
	require.Empty(t, asked)
}
