package client

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"piernotch/internal/controlgroup"
	"piernotch/internal/controlgroup/lease"
	"piernotch/internal/controlgroup/protocol"
	"piernotch/internal/controlgroup/transport"
)

const (
	tickInterval        = 50 * time.Millisecond
	maxReconnectPause   = 200 * time.Millisecond // between two connections; the pause is drawn up to this
	responseTimeout     = time.Second            // a voter that has not responded for so long is left for another
	listRetryInterval   = responseTimeout / 2
	releasePollInterval = tickInterval / 5
)

// Client is a running member of a group. Its methods may be called from any goroutine.
type Client struct {
	cfg       controlgroup.Config
	process   lease.Process
	timing    lease.Timing
	startedAt time.Time
	observer  RequestObserver // may be nil
	stop      context.CancelFunc
	done      chan struct{} // closed when all goroutines of the client have ended

	mu           sync.Mutex
	holders      map[lease.Duty]*lease.Holder
	loggedTokens map[lease.Duty]lease.Token // the token that was logged last; 0: none
	pending      map[uint64]pendingRequest
	lastKey      uint64          // of requests
	conn         *transport.Conn // nil: not connected
	leader       string          // the voter that was named as the leader last; "": not known
	sharedWatch  *sharedWatch    // nil: this balancer polls discovery for itself
}

// Start begins a member that acquires the duties of its configuration. The configuration has to be
// valid. observer may be nil. The caller has to call Close.
func Start(cfg controlgroup.Config, observer RequestObserver) *Client {
	return StartContext(context.Background(), cfg, observer)
}

// StartContext is Start for a caller with a context: once ctx is done, the member has no connection any more
// and releases nothing. The caller has to call Close in any case.
func StartContext(ctx context.Context, cfg controlgroup.Config, observer RequestObserver) *Client {
	client := &Client{
		cfg:          cfg,
		process:      lease.Process{Name: cfg.Self, Incarnation: lease.Incarnation(rand.Uint64())},
		timing:       lease.Timing{Duration: cfg.LeaseDuration, MaxClockDrift: cfg.MaxClockDrift},
		startedAt:    time.Now(),
		observer:     observer,
		done:         make(chan struct{}),
		holders:      map[lease.Duty]*lease.Holder{},
		loggedTokens: map[lease.Duty]lease.Token{},
		pending:      map[uint64]pendingRequest{},
	}
	for _, duty := range cfg.Duties {
		client.acquire(lease.Duty(duty))
	}
	if cfg.WatchDuty != "" {
		client.sharedWatch = newSharedWatch(client, lease.Duty(cfg.WatchDuty))
		client.acquire(client.sharedWatch.duty)
	}
	ctx, stop := context.WithCancel(ctx)
	client.stop = stop
	go client.run(ctx) // until Close, which waits for done
	return client
}

// run owns both of the client's goroutines: it ticks itself and waits for the other.
func (c *Client) run(ctx context.Context) {
	defer close(c.done)
	var connections sync.WaitGroup
	connections.Go(func() { c.keepConnected(ctx) })
	c.tickUntilDone(ctx)
	connections.Wait()
}

// acquire begins to request a duty.
func (c *Client) acquire(d lease.Duty) {
	c.holders[d] = lease.NewHolder(c.timing, c.process, d)
}

// now is the clock of leases. It is monotonic, but does not advance while a whole machine is suspended,
// which is why receivers of acts check tokens.
func (c *Client) now() time.Duration { return time.Since(c.startedAt) }

// Token returns the token to act under, and whether the duty is held now. Call it before each act: its
// result is valid only at this moment.
func (c *Client) Token(duty lease.Duty) (token lease.Token, held bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if holder := c.holders[duty]; holder != nil {
		return holder.Token(c.now())
	}
	return 0, false
}

func (c *Client) tickUntilDone(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c.mu.Lock()
		c.tickLocked()
		c.mu.Unlock()
	}
}

// tickLocked sends the requests that are due, and leaves a voter that does not respond.
func (c *Client) tickLocked() {
	now := c.now()
	for duty, holder := range c.holders {
		c.logChangeLocked(duty, holder, now)
		// The group announces when a duty comes free. The pause is for an announcement that was lost.
		pause := c.timing.Duration/2 + rand.N(c.timing.Duration/2)
		if request, due := holder.NextRequest(now, pause); due {
			c.sendLeaseRequestLocked(holder, request)
		}
	}
	if c.sharedWatch != nil {
		c.sharedWatch.tickLocked(now)
	}
	c.leaveUnresponsiveVoterLocked()
}

// logChangeLocked logs when a duty was acquired or lost.
func (c *Client) logChangeLocked(duty lease.Duty, holder *lease.Holder, now time.Duration) {
	token, _ := holder.Token(now)
	last := c.loggedTokens[duty]
	if token == last {
		return
	}
	if token == 0 {
		slog.Info("group: duty lost", "duty", duty, "token", last)
	} else {
		slog.Info("group: duty acquired", "duty", duty, "token", token)
	}
	c.loggedTokens[duty] = token
}

// List requests from the leader all leases and all voters. It waits for a leader until ctx is done, whose error it
// then wraps.
func (c *Client) List(ctx context.Context) (protocol.Snapshot, error) {
	for {
		responses := make(chan protocol.Response, 1)
		c.mu.Lock()
		c.sendLocked(protocol.Request{Kind: protocol.List}, func(response protocol.Response) { responses <- response })
		c.mu.Unlock()
		select {
		case response := <-responses:
			if response.Err == nil {
				return response.Snapshot, nil
			}
		case <-time.After(listRetryInterval):
		case <-ctx.Done():
			return protocol.Snapshot{}, fmt.Errorf("no leader found: %w", ctx.Err())
		}
	}
}

// Close releases all duties and ends the client: no duty is held from its call on. It tries for up
// to releaseTimeout to notify the group, so that other members need not wait until the leases expire. It
// returns when the client's goroutines have ended.
func (c *Client) Close(releaseTimeout time.Duration) {
	c.mu.Lock()
	for _, holder := range c.holders {
		holder.Release()
	}
	c.tickLocked()
	c.mu.Unlock()
	deadline := time.Now().Add(releaseTimeout)
	for time.Now().Before(deadline) && c.releasePending() {
		time.Sleep(releasePollInterval)
	}
	c.stop()
	<-c.done
}

// releasePending reports whether the group has not confirmed the release of a duty yet.
func (c *Client) releasePending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, holder := range c.holders {
		if holder.ReleasePending(c.now()) {
			return true
		}
	}
	return false
}
