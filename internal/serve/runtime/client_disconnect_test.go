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

// A client leaves while the connection for its request is coming up: the request is sent on never,
// also where the settings let no attempt be called off.
func TestAClientLeavesWhileItsConnectionComesUp(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		t.Run(fmt.Sprint("cancel ", cancel), func(t *testing.T) {
			t.Parallel()
			var got ran
			server, open := late(t, got.serves)
			n, _ := startWith(t, func(cfg *config.Config) {
				cfg.Settings.Limits.CancelAttempts, cfg.DialTimeout = cancel, 4*time.Second
			}, quiet(t), server)
			c := connect(t, n)
			c.send("GET /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: left\r\n\r\n")
			time.Sleep(50 * time.Millisecond)
			_ = c.Close()
			time.Sleep(50 * time.Millisecond)
			open()
			_, body := connect(t, n).ask("POST", "/append", "stays", "mine") // waits for the same connection
			require.Equal(t, "mine", body)
			time.Sleep(300 * time.Millisecond)
			require.Zero(t, got.times("left"))
		})
	}
}

// A client leaves while its request waits for room: it is sent on never, also where the room came and the
// client left while the process stood still.
func TestAClientLeavesTheQueue(t *testing.T) {
	for _, still := range []bool{false, true} {
		t.Run(fmt.Sprint("still ", still), func(t *testing.T) {
			t.Parallel()
			var got ran
			hold := make(chan struct{})
			n, _ := start(t, quiet(t), peer(t, func(c net.Conn, r *bufio.Reader) {
				for head, body := message(r); head != ""; head, body = message(r) {
					got.add(head)
					<-hold
					answer(c, body)
				}
			}))
			var busy []*client
			for i := range 2 { // a server's bound of this balancer's requests
				c := connect(t, n)
				c.send(fmt.Sprintf("GET /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: busy-%d\r\n\r\n", i))
				busy = append(busy, c)
				require.Eventually(t, func() bool { return got.times(fmt.Sprint("busy-", i)) == 1 }, patience, time.Millisecond)
			}
			c := connect(t, n)
			c.send("GET /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: left\r\n\r\n")
			time.Sleep(30 * time.Millisecond)
			goOn := func() {}
			if still {
				goOn = standStill(n)
				close(hold)
				time.Sleep(60 * time.Millisecond)
			}
			_ = c.Close()
			time.Sleep(30 * time.Millisecond)
			if !still {
				close(hold)
			}
			goOn()
			for _, c := range busy {
				head, _ := message(c.r)
				require.Contains(t, head, "200")
			}
			_, body := connect(t, n).ask("POST", "/append", "next", "mine")
			require.Equal(t, "mine", body)
			require.Zero(t, got.times("left"))
		})
	}
}

// A client leaves before its request was looked at: it is sent on never.
func TestAClientLeavesBeforeItsRequestIsLookedAt(t *testing.T) {
	var got ran
	n, _ := start(t, quiet(t), peer(t, got.serves))
	c := connect(t, n)
	for i := range 2 { // there is a connection to the server, which a request would be written to at once
		_, body := c.ask("POST", "/append", fmt.Sprint(i), "mine")
		require.Equal(t, "mine", body)
	}
	time.Sleep(50 * time.Millisecond)
	goOn := standStill(n)
	c.send("GET /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: left\r\n\r\n")
	_ = c.Close()
	time.Sleep(50 * time.Millisecond)
	goOn()
	time.Sleep(100 * time.Millisecond)
	require.Zero(t, got.times("left"))
}

// A client that leaves while its answer is written takes nobody with it.
func TestAClientLeavesWhileItsAnswerIsWritten(t *testing.T) {
	n, _ := start(t, quiet(t), peer(t, func(c net.Conn, r *bufio.Reader) {
		for head, _ := message(r); head != ""; head, _ = message(r) {
			answer(c, strings.Repeat("a", 60<<10))
		}
	}))
	for i := range 10 {
		c := connect(t, n)
		c.send("GET /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: 1\r\n\r\n")
		if _, err := c.r.ReadByte(); err != nil {
			require.True(t, dropped(err), err)
		}
		_ = c.Conn.(*net.TCPConn).SetLinger(i % 2 * -1)
		_ = c.Close()
		_, body := connect(t, n).ask("GET", "/read", fmt.Sprint("good-", i), "")
		require.Len(t, body, 60<<10)
	}
}

// Clients that send much at once and go leave nothing behind, and nobody waits for them.
func TestFloodsThatLeave(t *testing.T) {
	var got ran
	n, _ := start(t, quiet(t), peer(t, got.serves))
	flood := strings.Repeat("POST /append HTTP/1.1\r\nHost: b\r\nX-Request-Id: f\r\nContent-Length: 0\r\n\r\n", 8<<10)
	for i := range 30 {
		c := connect(t, n)
		go func() {
			_, _ = io.WriteString(c, flood)
			if i%2 == 0 {
				_ = c.Conn.(*net.TCPConn).SetLinger(0) // a reset
			}
			_ = c.Close()
		}()
		_, body := connect(t, n).ask("POST", "/append", fmt.Sprint("good-", i), "mine")
		require.Equal(t, "mine", body)
	}
	require.Eventually(t, func() bool { return n.loop.OpenConnections() < 40 }, patience, 10*time.Millisecond)
}

// dropped tells whether an error is the end of a connection, in order or not.
func dropped(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
