package runtime

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch/internal/serve/core"
)

// Clients still connect for some time after a shutdown has begun. They are served with "Connection: close",
// and no accepted request is dropped.
func TestShutdownCompletesPendingRequests(t *testing.T) {
	arrived, release := make(chan struct{}, 8), make(chan struct{})
	balancer, done := startBalancer(t, startIdleDiscovery(t), startPeer(t, func(c net.Conn, r *bufio.Reader) {
		arrived <- struct{}{}
		for head, _ := readMessage(r); head != ""; head, _ = readMessage(r) {
			<-release
			respond(c, "served")
		}
	}))
	early := connect(t, balancer)
	early.send("GET /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: 1\r\n\r\n")
	<-arrived
	late := connect(t, balancer)
	late.send("GET /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: 2\r\n") // the rest is sent during the shutdown
	balancer.Shutdown()
	head, _ := connect(t, balancer).request("GET", "/_health", "", "")
	require.Contains(t, head, "503")
	require.Contains(t, head, "Connection: close")
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", balancer.Addr())
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	}, testTimeout, 10*time.Millisecond, "still listening")
	close(release)
	for _, c := range []*client{early, late} {
		head, body := readMessage(c.reader)
		require.Contains(t, head, "Connection: close")
		require.Equal(t, "served", body)
		if c == early {
			time.Sleep(200 * time.Millisecond) // by now no request is pending, but part of one has arrived
			late.send("\r\n")
		}
	}
	select {
	case <-done:
	case <-time.After(testTimeout):
		t.Fatal("still running")
	}
}

// A request that arrives on an idle connection that is being closed is not read: no server receives it, and the
// client sees an orderly end, not a reset. Both the idle timeout and a shutdown close idle connections.
func TestRequestOnClosingIdleConnectionIsNotForwarded(t *testing.T) {
	for _, shutdown := range []bool{false, true} {
		t.Run(fmt.Sprint("shutdown ", shutdown), func(t *testing.T) {
			t.Parallel()
			var forwarded requestLog
			balancer, done := startBalancer(t, startIdleDiscovery(t), startPeer(t, forwarded.serveEcho))
			c := connect(t, balancer)
			_, body := c.request("POST", "/append", "1", "first")
			require.Equal(t, "first", body)
			if shutdown {
				balancer.Shutdown()
			}
			_, err := c.reader.Peek(1)
			require.ErrorIs(t, err, io.EOF)
			c.send("POST /append HTTP/1.1\r\nHost: b\r\nX-Request-Id: 2\r\nContent-Length: 0\r\n\r\n")
			time.Sleep(50 * time.Millisecond)
			_, err = c.reader.Peek(1)
			require.ErrorIs(t, err, io.EOF, "no reset")
			_ = c.Close()
			require.Zero(t, forwarded.count("2"))
			if shutdown {
				<-done
			}
		})
	}
}

// Clients keep sending on their connections until a shutdown closes them. Each request gets a complete
// response, or its connection ends and no server has received the request.
func TestShutdownUnderLoadLosesNoForwardedRequest(t *testing.T) {
	var forwarded requestLog
	balancer, done := startBalancer(
		t,
		startIdleDiscovery(t),
		startPeer(t, forwarded.serveEcho),
		startPeer(t, forwarded.serveEcho),
	)
	var clients sync.WaitGroup
	for i := range 12 {
		c := connect(t, balancer)
		clients.Go(func() {
			for k := 0; ; k++ {
				id := fmt.Sprintf("%d-%d", i, k)
				_, err := fmt.Fprintf(
					c,
					"POST /append HTTP/1.1\r\nHost: b\r\nX-Request-Id: %s\r\nContent-Length: 4\r\n\r\nmine",
					id,
				)
				head, body := "", ""
				if err == nil {
					head, body = readMessage(c.reader)
				}
				if head == "" {
					if forwarded.count(id) != 0 {
						t.Errorf("%s was forwarded and got no response", id)
					}
					return
				}
				if !strings.Contains(head, " 200 ") || body != "mine" {
					t.Errorf("%s: %q", id, head)
				}
				time.Sleep(time.Duration(i) * time.Millisecond)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	balancer.Shutdown()
	clients.Wait()
	select {
	case <-done:
	case <-time.After(testTimeout):
		t.Fatal("still running")
	}
}

// A client connects just before the listener stops and sends its request just after. The request must be served.
func TestConnectionAcceptedBeforeListenerStopsIsServed(t *testing.T) {
	var forwarded requestLog
	balancer, done := startBalancer(t, startIdleDiscovery(t), startPeer(t, forwarded.serveEcho))
	balancer.Shutdown()
	time.Sleep(core.ShutdownGrace - 50*time.Millisecond)
	c := connect(t, balancer)
	time.Sleep(150 * time.Millisecond)
	head, body := c.request("POST", "/append", "1", "mine")
	require.Contains(t, head, "Connection: close")
	require.Equal(t, "mine", body)
	_ = c.Close()
	<-done
}
