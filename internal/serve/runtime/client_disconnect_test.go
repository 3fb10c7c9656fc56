package runtime

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch/internal/serve/config"
)

// A client disconnects while the connection for its request is being dialed. The request must not be
// forwarded, even if the settings do not allow attempts to be canceled.
func TestClientDisconnectDuringDialIsNotForwarded(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		t.Run(fmt.Sprint("cancel ", cancel), func(t *testing.T) {
			t.Parallel()
			var forwarded requestLog
			server, unblock := startBlockedPeer(t, forwarded.serveEcho)
			balancer, _ := startBalancerWith(t, func(cfg *config.Config) {
				cfg.Settings.Limits.CancelAttempts = cancel
				cfg.DialTimeout = 4 * time.Second
			}, startIdleDiscovery(t), server)
			c := connect(t, balancer)
			c.send("GET /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: left\r\n\r\n")
			time.Sleep(50 * time.Millisecond)
			_ = c.Close()
			time.Sleep(50 * time.Millisecond)
			unblock()
			_, body := connect(t, balancer).request("POST", "/append", "stays", "mine") // waits for the dial
			require.Equal(t, "mine", body)
			time.Sleep(300 * time.Millisecond)
			require.Zero(t, forwarded.count("left"))
		})
	}
}

// A client disconnects while its request is queued. The request must not be forwarded, even if a server
// becomes free and the client disconnects during the same stall.
func TestClientDisconnectWhileQueuedIsNotForwarded(t *testing.T) {
	for _, stalled := range []bool{false, true} {
		t.Run(fmt.Sprint("stalled ", stalled), func(t *testing.T) {
			t.Parallel()
			var forwarded requestLog
			hold := make(chan struct{})
			balancer, _ := startBalancer(t, startIdleDiscovery(t), startPeer(t, func(c net.Conn, r *bufio.Reader) {
				for head, body := readMessage(r); head != ""; head, body = readMessage(r) {
					forwarded.record(head)
					<-hold
					respond(c, body)
				}
			}))
			var busy []*client
			for i := range 2 { // this balancer sends at most two requests to a server at a time
				c := connect(t, balancer)
				c.send(fmt.Sprintf("GET /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: busy-%d\r\n\r\n", i))
				busy = append(busy, c)
				require.Eventually(
					t,
					func() bool { return forwarded.count(fmt.Sprint("busy-", i)) == 1 },
					testTimeout,
					time.Millisecond,
				)
			}
			c := connect(t, balancer)
			c.send("GET /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: left\r\n\r\n")
			time.Sleep(30 * time.Millisecond)
			resume := func() {}
			if stalled {
				resume = pauseLoop(balancer)
				close(hold)
				time.Sleep(60 * time.Millisecond)
			}
			_ = c.Close()
			time.Sleep(30 * time.Millisecond)
			if !stalled {
				close(hold)
			}
			resume()
			for _, c := range busy {
				head, _ := readMessage(c.reader)
				require.Contains(t, head, "200")
			}
			_, body := connect(t, balancer).request("POST", "/append", "next", "mine")
			require.Equal(t, "mine", body)
			require.Zero(t, forwarded.count("left"))
		})
	}
}

// A client disconnects before its request is read. The request must not be forwarded.
func TestClientDisconnectBeforeRequestIsReadIsNotForwarded(t *testing.T) {
	var forwarded requestLog
	balancer, _ := startBalancer(t, startIdleDiscovery(t), startPeer(t, forwarded.serveEcho))
	c := connect(t, balancer)
	for i := range 2 { // open a server connection on which the next request would be written at once
		_, body := c.request("POST", "/append", fmt.Sprint(i), "mine")
		require.Equal(t, "mine", body)
	}
	time.Sleep(50 * time.Millisecond)
	resume := pauseLoop(balancer)
	c.send("GET /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: left\r\n\r\n")
	_ = c.Close()
	time.Sleep(50 * time.Millisecond)
	resume()
	time.Sleep(100 * time.Millisecond)
	require.Zero(t, forwarded.count("left"))
}

// A client that disconnects while its response is being written must not affect other clients.
func TestClientDisconnectDuringResponseAffectsNoOther(t *testing.T) {
	balancer, _ := startBalancer(t, startIdleDiscovery(t), startPeer(t, func(c net.Conn, r *bufio.Reader) {
		for head, _ := readMessage(r); head != ""; head, _ = readMessage(r) {
			respond(c, strings.Repeat("a", 60<<10))
		}
	}))
	for i := range 10 {
		c := connect(t, balancer)
		c.send("GET /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: 1\r\n\r\n")
		if _, err := c.reader.ReadByte(); err != nil {
			require.True(t, connectionLost(err), err)
		}
		_ = c.Conn.(*net.TCPConn).SetLinger(i % 2 * -1)
		_ = c.Close()
		_, body := connect(t, balancer).request("GET", "/read", fmt.Sprint("good-", i), "")
		require.Len(t, body, 60<<10)
	}
}

// Clients that pipeline many requests and disconnect must not leak connections or block other clients.
func TestPipeliningFloodsDoNotBlockOthers(t *testing.T) {
	var forwarded requestLog
	balancer, _ := startBalancer(t, startIdleDiscovery(t), startPeer(t, forwarded.serveEcho))
	flood := strings.Repeat("POST /append HTTP/1.1\r\nHost: b\r\nX-Request-Id: f\r\nContent-Length: 0\r\n\r\n", 8<<10)
	for i := range 30 {
		c := connect(t, balancer)
		go func() {
			_, _ = io.WriteString(c, flood)
			if i%2 == 0 {
				_ = c.Conn.(*net.TCPConn).SetLinger(0) // Close sends a reset
			}
			_ = c.Close()
		}()
		_, body := connect(t, balancer).request("POST", "/append", fmt.Sprint("good-", i), "mine")
		require.Equal(t, "mine", body)
	}
	require.Eventually(t, func() bool { return balancer.loop.OpenConnections() < 40 }, testTimeout, 10*time.Millisecond)
}

// connectionLost reports whether an error means that the peer has closed or reset the connection.
func connectionLost(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// A client sends a request with much behind it and leaves, while the process has not read all of it. The request must
// not be forwarded: its client is gone.
func TestRequestOfAClientThatLeftWithMuchUnreadIsNotForwarded(t *testing.T) {
	var forwarded requestLog
	balancer, _ := startBalancer(t, startIdleDiscovery(t), startPeer(t, forwarded.serveEcho))
	for i := range 8 { // until a connection to the server is kept, on which the request could be written at once
		id := fmt.Sprint("warm-up-", i)
		connect(t, balancer).request("POST", "/append", id, id)
	}
	time.Sleep(50 * time.Millisecond)
	c := connect(t, balancer)
	resume := pauseLoop(balancer)
	c.send("GET /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: left\r\n\r\n")
	time.Sleep(20 * time.Millisecond) // the request is read alone
	c.send(strings.Repeat("x", 1<<20))
	_ = c.Close()
	time.Sleep(150 * time.Millisecond)
	resume()
	_, body := connect(t, balancer).request("POST", "/append", "stays", "mine")
	require.Equal(t, "mine", body)
	time.Sleep(100 * time.Millisecond)
	require.Zero(t, forwarded.count("left"))
}

// A client leaves while a server works on its request, and sends the same request again. It must not be executed twice.
func TestRequestOfAClientThatLeftIsNotExecutedTwice(t *testing.T) {
	var forwarded requestLog
	balancer, _ := startBalancer(t, startIdleDiscovery(t), startPeer(t, func(_ net.Conn, r *bufio.Reader) {
		head, _ := readMessage(r)
		forwarded.record(head)
		_, _ = r.ReadByte() // until the balancer gives up
	}))
	c := connect(t, balancer)
	c.send("POST /append HTTP/1.1\r\nHost: b\r\nX-Request-Id: again\r\nContent-Length: 0\r\n\r\n")
	require.Eventually(t, func() bool { return forwarded.count("again") == 1 }, testTimeout, time.Millisecond)
	_ = c.Close()
	time.Sleep(50 * time.Millisecond)
	head, body := connect(t, balancer).request("POST", "/append", "again", "")
	require.Contains(t, head, "409 Conflict")
	require.Contains(t, body, "may have run")
	require.Equal(t, 1, forwarded.count("again"))
}
