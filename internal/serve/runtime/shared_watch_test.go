package runtime

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"piernotch"
	"piernotch/internal/group"
	"piernotch/internal/serve/config"
	"piernotch/internal/serve/discovery"
)

// lists is a group whose word the test gives.
type lists struct {
	mu     sync.Mutex
	ask    bool
	told   []group.WatchEvent
	behind []uint64
}

func (l *lists) ShouldPoll(string) (bool, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ask, false
}
func (l *lists) Publish(p group.WatchEvent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told = append(l.told, p)
}
func (l *lists) PollFailed() {}
func (l *lists) RequestUpdate(_ string, version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.behind = append(l.behind, version)
}

func (l *lists) seen() (told []group.WatchEvent, behind []uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.told, l.behind
}

// Where another balancer asks discovery, its lists are taken, the newer ones alone, and discovery is
// not asked; it is as soon as nobody else does.
func TestListsOfAnotherBalancer(t *testing.T) {
	server := func(name string) string {
		return peer(t, func(c net.Conn, r *bufio.Reader) {
			for head, _ := message(r); head != ""; head, _ = message(r) {
				answer(c, name)
			}
		})
	}
	asked := make(chan string, 16)
	a, b := server("a"), server("b")
	disco := peer(t, func(c net.Conn, r *bufio.Reader) {
		for head, _ := message(r); head != ""; head, _ = message(r) {
			asked <- head
			body := list(4, true, "in_service", a)
			_, _ = io.WriteString(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
			message(r) // the next call waits
		}
	})
	cfg := config.Config{
		Name: "n", Listen: "127.0.0.1:0", Discovery: disco, Seed: 1, MemoryMB: 64, MaxDescriptors: 256, KeepAlive: patience, DialTimeout: patience, HasKnownEndpoints: true,
		Settings: piernotch.Settings{
			BalancerCount: 1, Zones: []string{"a"}, Tick: 5e6, PollDiscovery: true,
			Classes: []piernotch.Class{{Name: "read", LatencyObjective: 2e9, Deadline: 5e9, PriorityWeight: 1, RetrySafety: piernotch.Idempotent}},
			Limits:  piernotch.Limits{MaxAttempts: 3, CancelAttempts: true}, Rules: piernotch.Rules{PollInterval: 4e8, SlowStartCapacity: 0.2, SlowStartDuration: 1e9},
		},
	}
	var err error
	cfg.KnownEndpoints, err = discovery.Parse([]byte(list(1, true, "in_service", a)), cfg.Settings.Zones)
	require.NoError(t, err)
	n, err := New(cfg)
	require.NoError(t, err)
	l := &lists{}
	var take group.OnUpdate
	n.ShareWatch(func(source string, t group.OnUpdate) group.SharedWatch { take = t; return l })
	require.NoError(t, n.Start())
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { n.Run(ctx); close(done) }()
	defer func() { stop(); <-done }()
	serves := func(want string) {
		require.Eventually(t, func() bool {
			_, body := connect(t, n).ask("GET", "/read", "id", "")
			return body == want
		}, patience, 5e6)
	}
	serves("a")
	post := func(from, to uint64, body string) {
		take(group.WatchEvent{Source: disco, FromVersion: from, ToVersion: to, Whole: from == 0, Body: []byte(body)})
	}
	post(0, 2, list(2, true, "in_service", b))
	serves("b")
	post(0, 1, list(1, true, "in_service", a)) // of a holder that slept
	post(4, 5, list(5, false, "in_service", a))
	require.Eventually(t, func() bool { _, behind := l.seen(); return len(behind) == 1 && behind[0] == 2 }, patience, 5e6)
	serves("b")
	post(2, 3, list(3, false, "terminating", b))
	require.Empty(t, asked, "discovery was asked")
	l.mu.Lock()
	l.ask = true
	l.mu.Unlock()
	require.Contains(t, <-asked, "index=3")
	serves("a")
	told, _ := l.seen()
	require.Equal(t, group.WatchEvent{Source: disco, ToVersion: 4, Whole: true, Body: []byte(list(4, true, "in_service", a))}, told[0])
}
