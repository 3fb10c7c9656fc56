package runtime

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch"
	"piernotch/internal/serve/config"
	"piernotch/internal/serve/eventloop"
)

// echo is a feed server that answers with its own name.
func echo(t *testing.T, name string) string {
	return peer(t, func(c net.Conn, r *bufio.Reader) {
		for head, _ := message(r); head != ""; head, _ = message(r) {
			answer(c, name)
		}
	})
}

// call makes one call at the operators' address and returns the status line's number.
func call(t *testing.T, n *Balancer, method, path, body string) int {
	head, _ := raw(t, n.AdminAddr(), fmt.Sprintf("%s %s HTTP/1.1\r\nHost: b\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body))
	var status int
	_, err := fmt.Sscanf(head, "HTTP/1.1 %d", &status)
	require.NoError(t, err, head)
	require.Contains(t, head, "Connection: close")
	return status
}

func raw(t *testing.T, address, text string) (head, body string) {
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(patience))
	_, _ = io.WriteString(c, text)
	return message(bufio.NewReader(c))
}

func managed(cfg *config.Config) { cfg.AdminAddress = "127.0.0.1:0" }

func TestOperatorsAreAnswered(t *testing.T) {
	a, b := echo(t, "a"), echo(t, "b")
	n, _ := startWith(t, managed, quiet(t), a, b)
	out := fmt.Sprintf(`{"name":"s-%s"}`, a)
	for _, c := range []struct {
		method, path, body string
		status             int
	}{
		{"GET", "/api/ready", "", 200},
		{"POST", "/api/ready", "", 405},
		{"GET", "/api/exclude", "", 405},
		{"GET", "/_health", "", 404},
		{"POST", "/api/nothing", out, 404},
		{"POST", "/api/exclude", "", 400},
		{"POST", "/api/exclude", "{", 400},
		{"POST", "/api/exclude", `{"name":3}`, 400},
		{"POST", "/api/exclude", `{}`, 400},
		{"POST", "/api/exclude", `{"name":"` + strings.Repeat("x", 300) + `"}`, 400},
		{"POST", "/api/exclude", strings.Repeat("x", 70000), 413},
		{"POST", "/api/exclude", `{"name":"s-unknown"}`, 404},
		{"POST", "/api/include", `{"name":"s-unknown"}`, 404},
		{"POST", "/api/exclude", out, 200},
		{"POST", "/api/exclude", out, 200},
	} {
		require.Equal(t, c.status, call(t, n, c.method, c.path, c.body), "%s %s %.20s", c.method, c.path, c.body)
	}
	c := connect(t, n)
	for i := range 20 {
		_, body := c.ask("GET", "/read", fmt.Sprint(i), "")
		require.Equal(t, "b", body)
	}
	require.Equal(t, 200, call(t, n, "POST", "/api/include", out))
	require.Eventually(t, func() bool {
		_, body := c.ask("GET", "/read", "again", "")
		return body == "a"
	}, patience, 10*time.Millisecond)
}

// Callers that hold their connections without a whole call keep nobody from being answered.
func TestSilentCallersGiveWay(t *testing.T) {
	n, _ := startWith(t, managed, quiet(t), echo(t, "a"))
	for range 3 * 16 {
		c, err := net.Dial("tcp", n.AdminAddr())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		_, _ = io.WriteString(c, "POST /api/excl")
	}
	require.Equal(t, 200, call(t, n, "GET", "/api/ready", ""))
	c := connect(t, n)
	_, body := c.ask("GET", "/read", "1", "")
	require.Equal(t, "a", body)
}

func TestClientsAreSentAwayAndTakenAgain(t *testing.T) {
	n, _ := startWith(t, managed, quiet(t), echo(t, "a"))
	busy, idle := connect(t, n), connect(t, n)
	for _, c := range []*client{busy, idle} {
		head, _ := c.ask("GET", "/_health", "1", "")
		require.Contains(t, head, " 200 ")
	}
	require.Equal(t, 200, call(t, n, "POST", "/api/evacuate", ""))
	began := time.Now()
	head, body := busy.ask("GET", "/read", "2", "")
	require.Equal(t, "a", body, "connections that stand still serve")
	require.Contains(t, head, "Connection: close")
	_, err := idle.r.ReadByte()
	require.ErrorIs(t, err, io.EOF, "an idle connection is closed")
	require.Less(t, time.Since(began), 4*time.Second)
	head, _ = connect(t, n).ask("GET", "/_health", "1", "")
	require.Contains(t, head, " 503 ")
	require.Equal(t, 200, call(t, n, "GET", "/api/ready", ""), "the process can serve all the same")

	require.Equal(t, 200, call(t, n, "POST", "/api/rejoin", ""))
	c := connect(t, n)
	for range 2 {
		head, _ = c.ask("GET", "/_health", "1", "")
		require.Contains(t, head, " 200 ")
		require.NotContains(t, head, "Connection: close")
	}
}

// pair starts a process beside another on a socket that both hold.
type pair struct {
	t    *testing.T
	file int
	dir  string
	set  func(*config.Config)
}

func newPair(t *testing.T) *pair {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f, err := l.(*net.TCPListener).File()
	require.NoError(t, err)
	require.NoError(t, l.Close())
	t.Cleanup(func() { _ = f.Close() })
	p := &pair{t: t, dir: t.TempDir(), file: int(f.Fd())}
	p.set = func(cfg *config.Config) {
		managed(cfg)
		fd, err := syscall.Dup(p.file) // each process has its own
		require.NoError(t, err)
		cfg.ListenFD, cfg.StateDir = fd, p.dir
	}
	return p
}

func TestAProcessTakesOverFromTheOneBesideIt(t *testing.T) {
	p := newPair(t)
	a, b := echo(t, "a"), echo(t, "b")
	old, oldDone := startWith(t, p.set, quiet(t), a, b)
	held := connect(t, old)
	require.Equal(t, 200, call(t, old, "POST", "/api/exclude", fmt.Sprintf(`{"name":"s-%s"}`, a)))

	next, _ := startWith(t, p.set, quiet(t)) // its own list is empty: it has the other's
	require.Equal(t, 200, call(t, next, "GET", "/api/ready", ""))
	require.Eventually(t, func() bool { return accepting(old, false) && accepting(next, true) }, patience, time.Millisecond)
	for i := range 10 {
		_, body := held.ask("GET", "/read", fmt.Sprint("h", i), "")
		require.Equal(t, "b", body, "the old process serves on its connections")
		_, body = connect(t, next).ask("GET", "/read", fmt.Sprint("n", i), "")
		require.Equal(t, "b", body, "what is left out stays so")
	}
	// A word at either process reaches the other.
	require.Equal(t, 200, call(t, next, "POST", "/api/include", fmt.Sprintf(`{"name":"s-%s"}`, a)))
	require.Equal(t, 200, call(t, next, "POST", "/api/exclude", fmt.Sprintf(`{"name":"s-%s"}`, b)))
	require.Eventually(t, func() bool {
		_, body := held.ask("GET", "/read", "x", "")
		return body == "a"
	}, patience, 10*time.Millisecond)

	old.Shutdown()
	head, _ := held.ask("GET", "/_health", "1", "")
	require.Contains(t, head, " 200 ", "the two are one balancer")
	require.Contains(t, head, "Connection: close")
	<-oldDone
	_, body := connect(t, next).ask("GET", "/read", "1", "")
	require.Equal(t, "a", body)
}

// The new process dies after its yes: the old one takes clients again.
func TestTheOldProcessTakesOverAgain(t *testing.T) {
	p := newPair(t)
	old, _ := startWith(t, p.set, quiet(t), echo(t, "a"))
	ctx, kill := context.WithCancel(context.Background())
	next, nextDone := startIn(t, ctx, p.set, quiet(t))
	require.Eventually(t, func() bool { return accepting(old, false) }, patience, time.Millisecond)
	require.True(t, accepting(next, true))
	require.Equal(t, 200, call(t, next, "POST", "/api/evacuate", ""))
	kill()
	<-nextDone
	require.Eventually(t, func() bool { return accepting(old, true) }, patience, time.Millisecond)
	head, _ := connect(t, old).ask("GET", "/_health", "1", "")
	require.Contains(t, head, " 503 ", "it has heard of the drain")
}

func accepting(n *Balancer, want bool) bool { return n.listener.Accepting() == want }

// New settings are in use at once, and what is under way keeps the class that it came with.
func TestSettingsAreTakenWhileRequestsAreUnderWay(t *testing.T) {
	arrived, release := make(chan struct{}, 8), make(chan struct{})
	n, _ := start(t, quiet(t), peer(t, func(c net.Conn, r *bufio.Reader) {
		for head, _ := message(r); head != ""; head, _ = message(r) {
			if strings.Contains(head, "/append") {
				arrived <- struct{}{}
				<-release
			}
			answer(c, "served")
		}
	}))
	early := connect(t, n)
	early.send("POST /append HTTP/1.1\r\nHost: b\r\nX-Request-Id: 1\r\nContent-Length: 0\r\n\r\n")
	<-arrived
	cfg := n.cfg
	read := cfg.Settings.Classes[0]
	read.RetrySafety = piernotch.NonIdempotent
	extra := read
	extra.Name = "extra"
	cfg.Settings.Classes = []piernotch.Class{read, extra}
	cfg.Settings.Limits.MaxAttempts = 1
	n.Reload(cfg)
	c := connect(t, n)
	require.Eventually(t, func() bool {
		head, _ := c.ask("POST", "/extra", "2", "")
		return strings.Contains(head, " 200 ")
	}, patience, 5*time.Millisecond)
	for request, want := range map[string]string{"POST /append": "404", "POST /read": "200", "GET /read": "200"} {
		method, path, _ := strings.Cut(request, " ")
		head, _ := c.ask(method, path, "3", "")
		require.Contains(t, head, "HTTP/1.1 "+want, "%s: the old form is taken a little longer", request)
	}
	close(release)
	head, body := message(early.r)
	require.Contains(t, head, " 200 ")
	require.Equal(t, "served", body)

	bad := cfg
	bad.Settings.Zones = []string{"a", "b"}
	n.Reload(bad) // it cannot be taken: nothing of it is
	head, _ = c.ask("POST", "/extra", "4", "")
	require.Contains(t, head, " 200 ")
}

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
