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

// siblingPair configures processes of one balancer that share a listening socket and a state directory.
type siblingPair struct {
	t          *testing.T
	listenerFD int
	stateDir   string
	configure  func(*config.Config)
}

func newSiblingPair(t *testing.T) *siblingPair {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f, err := l.(*net.TCPListener).File()
	require.NoError(t, err)
	require.NoError(t, l.Close())
	t.Cleanup(func() { _ = f.Close() })
	p := &siblingPair{t: t, stateDir: t.TempDir(), listenerFD: int(f.Fd())}
	p.configure = func(cfg *config.Config) {
		withAdminAddress(cfg)
		fd, err := syscall.Dup(p.listenerFD) // each process owns its descriptor
		require.NoError(t, err)
		cfg.ListenFD = fd
		cfg.StateDir = p.stateDir
	}
	return p
}

// A new process takes over the endpoint list and the operator overrides of the running one and accepts
// clients in its place. Both processes serve as one balancer until the old one has shut down.
func TestSuccessorTakesOverEndpointsAndOverrides(t *testing.T) {
	p := newSiblingPair(t)
	a, b := startNamedServer(t, "a"), startNamedServer(t, "b")
	old, oldDone := startBalancerWith(t, p.configure, startIdleDiscovery(t), a, b)
	existing := connect(t, old)
	require.Equal(t, 200, adminCall(t, old, "POST", "/api/exclude", fmt.Sprintf(`{"name":"s-%s"}`, a)))

	// The configured list is empty, so the new process can serve only with the old process's list.
	next, _ := startBalancerWith(t, p.configure, startIdleDiscovery(t))
	require.Equal(t, 200, adminCall(t, next, "GET", "/api/ready", ""))
	require.Eventually(
		t,
		func() bool { return accepting(old, false) && accepting(next, true) },
		testTimeout,
		time.Millisecond,
	)
	for i := range 10 {
		_, body := existing.request("GET", "/read", fmt.Sprint("h", i), "")
		require.Equal(t, "b", body, "the old process serves on its connections")
		_, body = connect(t, next).request("GET", "/read", fmt.Sprint("n", i), "")
		require.Equal(t, "b", body, "the new process has taken over the exclusion")
	}
	// An override given to one process reaches the other.
	require.Equal(t, 200, adminCall(t, next, "POST", "/api/include", fmt.Sprintf(`{"name":"s-%s"}`, a)))
	require.Equal(t, 200, adminCall(t, next, "POST", "/api/exclude", fmt.Sprintf(`{"name":"s-%s"}`, b)))
	require.Eventually(t, func() bool {
		_, body := existing.request("GET", "/read", "x", "")
		return body == "a"
	}, testTimeout, 10*time.Millisecond)

	old.Shutdown()
	head, _ := existing.request("GET", "/_health", "1", "")
	require.Contains(t, head, " 200 ", "the two are one balancer")
	require.Contains(t, head, "Connection: close")
	<-oldDone
	_, body := connect(t, next).request("GET", "/read", "1", "")
	require.Equal(t, "a", body)
}

// The new process dies after it became ready. The old one must accept clients again.
func TestPredecessorAcceptsAgainAfterSuccessorDies(t *testing.T) {
	p := newSiblingPair(t)
	old, _ := startBalancerWith(t, p.configure, startIdleDiscovery(t), startNamedServer(t, "a"))
	ctx, kill := context.WithCancel(context.Background())
	next := newBalancer(t, p.configure, startIdleDiscovery(t))
	nextDone := run(ctx, t, next)
	require.Eventually(t, func() bool { return accepting(old, false) }, testTimeout, time.Millisecond)
	require.True(t, accepting(next, true))
	require.Equal(t, 200, adminCall(t, next, "POST", "/api/evacuate", ""))
	kill()
	<-nextDone
	require.Eventually(t, func() bool { return accepting(old, true) }, testTimeout, time.Millisecond)
	head, _ := connect(t, old).request("GET", "/_health", "1", "")
	require.Contains(t, head, " 503 ", "the old process has taken over the drain")
}

// accepting reports whether a balancer accepts clients (want is true) or does not (want is false).
func accepting(balancer *Balancer, want bool) bool { return balancer.listener.Accepting() == want }
