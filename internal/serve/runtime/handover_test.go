package runtime

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch/internal/serve/config"
)

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
