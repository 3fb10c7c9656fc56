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

// After SIGTERM clients come for some time yet: they are served, told to leave,
// and nothing that was taken is dropped.
func TestTerminateAnswersWhatIsOwed(t *testing.T) {
	arrived, release := make(chan struct{}, 8), make(chan struct{})
	n, done := start(t, quiet(t), peer(t, func(c net.Conn, r *bufio.Reader) {
		arrived <- struct{}{}
		for head, _ := message(r); head != ""; head, _ = message(r) {
			<-release
			answer(c, "served")
		}
	}))
	early := connect(t, n)
	early.send("GET /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: 1\r\n\r\n")
	<-arrived
	late := connect(t, n)
	late.send("GET /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: 2\r\n") // the rest comes after the SIGTERM
	n.Shutdown()
	head, _ := connect(t, n).ask("GET", "/_health", "", "")
	require.Contains(t, head, "503")
	require.Contains(t, head, "Connection: close")
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", n.Addr())
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	}, patience, 10*time.Millisecond, "still listening")
	close(release)
	for _, c := range []*client{early, late} {
		head, body := message(c.r)
		require.Contains(t, head, "Connection: close")
		require.Equal(t, "served", body)
		if c == early {
			time.Sleep(200 * time.Millisecond) // nothing is owed by now, but half a request is here
			late.send("\r\n")
		}
	}
	select {
	case <-done:
	case <-time.After(patience):
		t.Fatal("still running")
	}
}

// A request that comes as its resting connection is shut is not read: no server gets it, and its client
// is told by an end, not a reset. Both ends shut: the idle one in its time, and SIGTERM.
func TestARequestCrossesTheShutdownOfARestingConnection(t *testing.T) {
	for _, term := range []bool{false, true} {
		t.Run(fmt.Sprint("term ", term), func(t *testing.T) {
			t.Parallel()
			var got ran
			n, done := start(t, quiet(t), peer(t, got.serves))
			c := connect(t, n)
			_, body := c.ask("POST", "/append", "1", "first")
			require.Equal(t, "first", body)
			if term {
				n.Shutdown()
			}
			_, err := c.r.Peek(1)
			require.ErrorIs(t, err, io.EOF)
			c.send("POST /append HTTP/1.1\r\nHost: b\r\nX-Request-Id: 2\r\nContent-Length: 0\r\n\r\n")
			time.Sleep(50 * time.Millisecond)
			_, err = c.r.Peek(1)
			require.ErrorIs(t, err, io.EOF, "no reset")
			_ = c.Close()
			require.Zero(t, got.times("2"))
			if term {
				<-done
			}
		})
	}
}

// Clients go on with every connection that is open through SIGTERM and to the end. Each request is
// answered whole, or its connection ends and no server ever had it.
func TestTerminateWithRequestsOnKeptConnections(t *testing.T) {
	var got ran
	n, done := start(t, quiet(t), peer(t, got.serves), peer(t, got.serves))
	var clients sync.WaitGroup
	for i := range 12 {
		c := connect(t, n)
		clients.Go(func() {
			for k := 0; ; k++ {
				id := fmt.Sprintf("%d-%d", i, k)
				_, err := fmt.Fprintf(c, "POST /append HTTP/1.1\r\nHost: b\r\nX-Request-Id: %s\r\nContent-Length: 4\r\n\r\nmine", id)
				head, body := "", ""
				if err == nil {
					head, body = message(c.r)
				}
				if head == "" {
					if got.times(id) != 0 {
						t.Errorf("%s was sent on and not answered", id)
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
	n.Shutdown()
	clients.Wait()
	select {
	case <-done:
	case <-time.After(patience):
		t.Fatal("still running")
	}
}

// A connection that came just before the end of listening has its request on the way.
func TestAConnectionThatComesAsListeningEnds(t *testing.T) {
	var got ran
	n, done := start(t, quiet(t), peer(t, got.serves))
	n.Shutdown()
	time.Sleep(core.ShutdownGrace - 50*time.Millisecond)
	c := connect(t, n)
	time.Sleep(150 * time.Millisecond)
	head, body := c.ask("POST", "/append", "1", "mine")
	require.Contains(t, head, "Connection: close")
	require.Equal(t, "mine", body)
	_ = c.Close()
	<-done
}
