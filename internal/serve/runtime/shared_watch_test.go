package runtime

import (
	"bufio"
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch"
	"piernotch/internal/controlgroup"
	"piernotch/internal/serve/config"
	"piernotch/internal/serve/discovery"
)

// fakeSharedWatch is a group in which the test decides whether this balancer polls.
type fakeSharedWatch struct {
	mu        sync.Mutex
	poll      bool
	published []controlgroup.WatchEvent
	requested []uint64
}

func (w *fakeSharedWatch) ShouldPoll(string) (bool, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.poll, false
}

func (w *fakeSharedWatch) Publish(p controlgroup.WatchEvent) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.published = append(w.published, p)
}

func (w *fakeSharedWatch) PollFailed() {}

func (w *fakeSharedWatch) RequestUpdate(_ string, version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requested = append(w.requested, version)
}

// calls returns the published events, and the versions after which an update was requested.
func (w *fakeSharedWatch) calls() (published []controlgroup.WatchEvent, requested []uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.published, w.requested
}

// While another balancer polls discovery, this balancer does not poll, but applies the published lists that are
// newer than its own. It polls as soon as the group tells it to.
func TestSharedWatchReplacesPolling(t *testing.T) {
	polled := make(chan string, 16)
	a, b := startNamedServer(t, "a"), startNamedServer(t, "b")
	discoveryAddress := startPeer(t, func(c net.Conn, r *bufio.Reader) {
		for head, _ := readMessage(r); head != ""; head, _ = readMessage(r) {
			polled <- head
			respond(c, endpointList(4, true, "in_service", a))
			readMessage(r) // the next poll gets no response
		}
	})
	cfg := config.Config{
		Name: "n", Listen: "127.0.0.1:0", Discovery: discoveryAddress, Seed: 1, MemoryMB: 64, MaxDescriptors: 256,
		KeepAlive: testTimeout, DialTimeout: testTimeout, HasKnownEndpoints: true,
		Settings: piernotch.Settings{
			BalancerCount: 1, Zones: []string{"a"}, Tick: 5 * time.Millisecond, PollDiscovery: true,
			Classes: []piernotch.Class{
				{
					Name:             "read",
					LatencyObjective: 2 * time.Second,
					Deadline:         5 * time.Second,
					PriorityWeight:   1,
					RetrySafety:      piernotch.Idempotent,
				},
			},
			Limits: piernotch.Limits{MaxAttempts: 3, CancelAttempts: true},
			Rules: piernotch.Rules{
				PollInterval:      400 * time.Millisecond,
				SlowStartCapacity: 0.2,
				SlowStartDuration: time.Second,
			},
		},
	}
	var err error
	cfg.KnownEndpoints, err = discovery.Parse([]byte(endpointList(1, true, "in_service", a)), cfg.Settings.Zones)
	require.NoError(t, err)
	balancer, err := New(cfg)
	require.NoError(t, err)
	w := &fakeSharedWatch{}
	var onUpdate controlgroup.OnUpdate
	balancer.ShareWatch(func(_ string, f controlgroup.OnUpdate) controlgroup.SharedWatch { onUpdate = f; return w })
	require.NoError(t, balancer.Start())
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { balancer.Run(ctx); close(done) }()
	defer func() { stop(); <-done }()
	serves := func(want string) {
		require.Eventually(t, func() bool {
			_, body := connect(t, balancer).request("GET", "/read", "id", "")
			return body == want
		}, testTimeout, 5*time.Millisecond)
	}
	serves("a")
	publish := func(from, to uint64, body string) {
		onUpdate(controlgroup.WatchEvent{
			Source:      discoveryAddress,
			FromVersion: from,
			ToVersion:   to,
			Complete:    from == 0,
			Body:        []byte(body),
		})
	}
	publish(0, 2, endpointList(2, true, "in_service", b))
	serves("b")
	publish(0, 1, endpointList(1, true, "in_service", a)) // outdated: from a lease holder that was stalled
	publish(4, 5, endpointList(5, false, "in_service", a))
	require.Eventually(t, func() bool {
		_, requested := w.calls()
		return len(requested) == 1 && requested[0] == 2
	}, testTimeout, 5*time.Millisecond)
	serves("b")
	publish(2, 3, endpointList(3, false, "terminating", b))
	require.Empty(t, polled, "discovery was polled")
	w.mu.Lock()
	w.poll = true
	w.mu.Unlock()
	require.Contains(t, <-polled, "index=3")
	serves("a")
	published, _ := w.calls()
	body := []byte(endpointList(4, true, "in_service", a))
	require.Equal(
		t,
		controlgroup.WatchEvent{Source: discoveryAddress, ToVersion: 4, Complete: true, Body: body},
		published[0],
	)
}
