package load

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch/internal/lab/scenario"
	"piernotch/internal/lab/simulation"
)

// outcomeRecorder is an Observer that stores the outcomes in the order in which requests end.
type outcomeRecorder struct {
	mu       sync.Mutex
	outcomes []Outcome
}

func (e *outcomeRecorder) RequestSent(string, int, int, time.Duration) {}
func (e *outcomeRecorder) RequestEnded(_ string, a Outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.outcomes = append(e.outcomes, a)
}

// play sends arrivals to a fake balancer. The script responds to the nth request and reports whether the
// connection is kept.
func play(
	t *testing.T,
	arrivals []simulation.Arrival,
	script func(c net.Conn, req *http.Request, n int) (keep bool),
) (*Clients, *outcomeRecorder) {
	t.Helper()
	s, err := scenario.Parse("test", []byte(`
length_s = 5
[fleet]
servers = 0
[clients]
backoff_ms = 5
try_share = 0.5
[[class]]
name = "read"
aim_ms = 500
deadline_ms = 1000
[[class]]
name = "append"
effect = "unsafe"
aim_ms = 500
deadline_ms = 1000
`))
	require.NoError(t, err)
	d, err := s.Draw(1)
	require.NoError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	var mu sync.Mutex
	n := 0
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					mu.Lock()
					n++
					at := n
					mu.Unlock()
					if !script(c, req, at) {
						return
					}
				}
			}()
		}
	}()
	started := time.Now()
	e := &outcomeRecorder{}
	clients := &Clients{
		Realization: d, Arrivals: arrivals, Observer: e, Clock: func() time.Duration { return time.Since(started) },
		Pick: func(int, *rand.Rand) (Picked, bool) { return Picked{Address: l.Addr().String()}, true },
	}
	clients.Run(context.Background())
	return clients, e
}

// respond writes a response as a server would.
func respond(c net.Conn, req *http.Request, status int) bool {
	body := "s-1 " + req.Header.Get("X-Request-Id")
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	return true
}

func TestClientsRetryByClassAndStatus(t *testing.T) {
	for _, c := range []struct {
		class, status, attempts int
	}{{0, 502, 3}, {1, 502, 1}, {0, 503, 3}, {1, 503, 3}, {0, 200, 1}} {
		clients, e := play(
			t,
			[]simulation.Arrival{{Class: c.class, Work: 1, MaxAttempts: 3, Seed: 1}},
			func(conn net.Conn, req *http.Request, _ int) bool {
				require.Equal(t, []string{"GET", "POST"}[c.class], req.Method)
				require.NotEmpty(t, req.Header.Get("X-Deadline-Ms"))
				return respond(conn, req, c.status)
			},
		)
		require.Equal(t, c.attempts, clients.Counts().Attempts, "class %d, status %d", c.class, c.status)
		require.Len(t, e.outcomes, c.attempts)
	}
}

func TestWrongOrMissingResponseIsNotServed(t *testing.T) {
	clients, _ := play(
		t,
		[]simulation.Arrival{{Class: 1, Work: 1, MaxAttempts: 1, Seed: 1}},
		func(c net.Conn, _ *http.Request, _ int) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nsomeone's")
			return true
		},
	)
	require.Equal(t, 1, clients.Counts().WrongResponse)
	require.Zero(t, clients.Counts().Served)
	clients, _ = play(
		t,
		[]simulation.Arrival{{Class: 1, Work: 1, MaxAttempts: 1, Seed: 1}},
		func(net.Conn, *http.Request, int) bool { return false },
	)
	require.Equal(t, 1, clients.Counts().Disconnected)
}

func TestClosedIdleConnectionIsRetriedOnce(t *testing.T) {
	clients, e := play(
		t,
		[]simulation.Arrival{
			{Class: 1, Work: 1, MaxAttempts: 1, Seed: 1},
			{At: 200 * time.Millisecond, Class: 1, Work: 1, MaxAttempts: 1, Seed: 2},
		},
		func(c net.Conn, req *http.Request, n int) bool { return n != 2 && respond(c, req, 200) },
	)
	require.Equal(t, 2, clients.Counts().Served)
	require.Equal(t, []Outcome{Served, Unreachable, Served}, e.outcomes)
}

func TestLoadIsOpenAndLatencyCountsFromDueTime(t *testing.T) {
	var arrivals []simulation.Arrival
	for i := range 20 {
		arrivals = append(
			arrivals,
			simulation.Arrival{At: time.Duration(i) * 10 * time.Millisecond, Work: 1, MaxAttempts: 1, Seed: uint64(i)},
		)
	}
	clients, _ := play(t, arrivals, func(c net.Conn, req *http.Request, _ int) bool {
		time.Sleep(300 * time.Millisecond)
		return respond(c, req, 200)
	})
	require.Equal(t, 20, clients.Counts().Served, "none waits for another")
	require.GreaterOrEqual(t, clients.Goodput().Percentile(50), 300.0)
}
