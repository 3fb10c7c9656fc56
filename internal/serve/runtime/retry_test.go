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

// A repeat waits for its connection: in time it is written, outside its window it is not.
func TestARepeatWaitsForItsConnection(t *testing.T) {
	for _, x := range []struct {
		window time.Duration
		runs   int
	}{{4 * time.Second, 1}, {600 * time.Millisecond, 0}} {
		t.Run(x.window.String(), func(t *testing.T) {
			t.Parallel()
			var got ran
			breaks := func(c net.Conn, r *bufio.Reader) { // the request is read, and may have run
				for head, _ := message(r); head != "" && !strings.Contains(head, "X-Request-Id: again"); head, _ = message(r) {
					answer(c, "warm")
				}
			}
			server, open := late(t, got.serves)
			n, _ := startWith(t, func(cfg *config.Config) {
				cfg.DialTimeout = 4 * time.Second
				cfg.Settings.Classes[1].RetrySafety, cfg.Settings.Classes[1].DedupWindow = piernotch.IdempotencyKey, x.window
				cfg.Settings.Classes[1].LatencyObjective = 4 * time.Second
				// Only the second server is elsewhere: all goes to the first until that one fails.
				cfg.Settings.Zones = []string{"a", "b"}
				cfg.KnownEndpoints.Endpoints[1].Endpoint.Zone = 1
			}, quiet(t), peer(t, breaks), server)
			c := connect(t, n)
			for i := range 10 { // repeats have a budget, by what is asked
				_, body := c.ask("GET", "/read", fmt.Sprint("warm-", i), "")
				require.Equal(t, "warm", body)
			}
			c.send("POST /append HTTP/1.1\r\nHost: b\r\nX-Request-Id: again\r\nContent-Length: 4\r\n\r\nmine")
			time.Sleep(100 * time.Millisecond)
			open() // the kernel tries again a second after the first try
			head, _ := message(c.r)
			require.Equal(t, x.runs, got.times("again"), head)
			require.Equal(t, x.runs == 1, strings.Contains(head, " 200 "), head)
		})
	}
}

// A connection is reset long after its request has begun: the request may have run, and its class decides.
func TestAResetLongAfterARequestHasBegun(t *testing.T) {
	for name, x := range map[string]struct {
		effect piernotch.RetrySafety
		window time.Duration
		status string
		runs   int
	}{
		"safe":                  {piernotch.Idempotent, 0, " 200 ", 2},
		"keyed":                 {piernotch.IdempotencyKey, 2 * time.Second, " 200 ", 2},
		"keyed, window is over": {piernotch.IdempotencyKey, 300 * time.Millisecond, " 503 ", 1}, // a repeat by the client does no harm
		"unsafe":                {piernotch.NonIdempotent, 0, " 502 ", 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var got ran
			reset := make(chan struct{}, 1)
			reset <- struct{}{}
			script := func(c net.Conn, r *bufio.Reader) {
				for head, body := message(r); head != ""; head, body = message(r) {
					got.add(head)
					if strings.Contains(head, "X-Request-Id: long") {
						select {
						case <-reset:
							time.Sleep(600 * time.Millisecond)
							_ = c.(*net.TCPConn).SetLinger(0)
							return
						default:
						}
					}
					answer(c, body)
				}
			}
			n, _ := startWith(t, func(cfg *config.Config) {
				k := &cfg.Settings.Classes[1]
				if k.RetrySafety, k.DedupWindow = x.effect, x.window; x.effect == piernotch.Idempotent {
					k.Name = "look"
				}
			}, quiet(t), peer(t, script), peer(t, script))
			c := connect(t, n)
			method, target := "POST", "/append"
			if x.effect == piernotch.Idempotent {
				method, target = "GET", "/look"
			}
			for i := range 20 { // repeats have a budget, by what is asked; the time that an answer takes is known
				_, _ = c.ask("GET", "/read", fmt.Sprint("warm-", i), "")
			}
			head, _ := c.ask(method, target, "long", "")
			require.Contains(t, head, x.status)
			require.Equal(t, x.runs, got.times("long"))
		})
	}
}

// What may have run is not sent again, and not called a refusal either; what was
// turned away unseen is refused.
func TestWhatMayHaveRunFails(t *testing.T) {
	tries := make(chan string, 16)
	script := func(c net.Conn, r *bufio.Reader) {
		head, _ := message(r)
		tries <- head
		if strings.Contains(head, "full") {
			_, _ = io.WriteString(c, "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		}
	}
	n, _ := start(t, quiet(t), peer(t, script), peer(t, script))
	c := connect(t, n)
	head, _ := c.ask("POST", "/append", "broken", "x")
	require.Contains(t, head, "502 Bad Gateway")
	require.Len(t, tries, 1)
	head, _ = c.ask("POST", "/append", "full", "x")
	require.Contains(t, head, "503 Service Unavailable")
}

// A server stops in the middle of its answer, in every way. The request may have run: it is repeated
// where that does no harm, fails where it would, and is answered in time.
func TestHalfALineFromAServer(t *testing.T) {
	dribble := func(c net.Conn, _ *bufio.Reader) {
		for _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"); err == nil; _, err = io.WriteString(c, "a") {
			time.Sleep(20 * time.Millisecond)
		}
	}
	for name, stop := range map[string]func(net.Conn, *bufio.Reader){
		"silence": func(c net.Conn, r *bufio.Reader) { _, _ = io.WriteString(c, "HTTP/1.1 2"); message(r) },
		"close":   func(c net.Conn, _ *bufio.Reader) { _, _ = io.WriteString(c, "HTTP/1.1 2") },
		"reset": func(c net.Conn, _ *bufio.Reader) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhalf")
			time.Sleep(5 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		},
		"no end": dribble,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var got ran
			n, _ := start(t, quiet(t), peer(t, func(c net.Conn, r *bufio.Reader) {
				head, _ := message(r)
				got.add(head)
				stop(c, r)
			}))
			for _, x := range []struct{ method, target, status string }{{"GET", "/read", " 503 "}, {"POST", "/append", " 50"}} {
				c := connect(t, n)
				began := time.Now()
				c.send(fmt.Sprintf("%s %s HTTP/1.1\r\nHost: b\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 700\r\nContent-Length: 0\r\n\r\n", x.method, x.target, x.method))
				head, _ := message(c.r)
				require.Contains(t, head, x.status)
				if x.method == "POST" && got.times("POST") > 0 {
					require.NotContains(t, head, " 503 ", "it may have run")
				}
				require.LessOrEqual(t, got.times("POST"), 1)
				require.Less(t, time.Since(began), 1200*time.Millisecond)
			}
		})
	}
}
