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
	tickInterval    = 50 * time.Millisecond
	maxDialPause    = 200 * time.Millisecond // between two connections; the pause is drawn up to this
	responseTimeout = time.Second            // a voter that has not answered for so long is left for another
	listRetry       = responseTimeout / 2
	releasePoll     = tickInterval / 5
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
	loggedTokens map[lease.Duty]uint64 // the token that was logged last; 0: none
	pending      map[uint64]pendingRequest
	lastKey      uint64          // of requests
	conn         *transport.Conn // nil: not connected
	leader       string          // the voter that was named as the leader last; "": not known
	sharedWatch  *sharedWatch    // nil: this balancer polls discovery for itself
}

// Start begins a member that acquires the duties of its configuration. The configuration has to be
// valid. observer may be nil. The caller has to call Close.
func Start(cfg controlgroup.Config, observer RequestObserver) *Client {
	c := &Client{
		cfg:          cfg,
		process:      lease.Process{Name: cfg.Self, Incarnation: rand.Uint64()},
		timing:       lease.Timing{Duration: cfg.LeaseDuration, MaxClockDrift: cfg.MaxClockDrift},
		startedAt:    time.Now(),
		observer:     observer,
		done:         make(chan struct{}),
		holders:      map[lease.Duty]*lease.Holder{},
		loggedTokens: map[lease.Duty]uint64{},
		pending:      map[uint64]pendingRequest{},
	}
	for _, d := range cfg.Duties {
		c.acquire(lease.Duty(d))
	}
	if cfg.WatchDuty != "" {
		c.sharedWatch = newSharedWatch(c, lease.Duty(cfg.WatchDuty))
		c.acquire(c.sharedWatch.duty)
	}
	ctx, stop := context.WithCancel(context.Background())
	c.stop = stop
	go c.run(ctx) // until Close, which waits for done
	return c
}

// run owns both of the client's goroutines: it ticks itself and waits for the other.
func (c *Client) run(ctx context.Context) {
	defer close(c.done)
	var connections sync.WaitGroup
	connections.Go(func() { c.keepConnected(ctx) })
	c.tickUntilDone(ctx)
	connections.Wait()
}

// acquire begins to want a duty.
func (c *Client) acquire(d lease.Duty) {
	c.holders[d] = lease.NewHolder(c.timing, c.process, d)
}

// now is the clock of leases. It is monotonic, but does not advance while a whole machine is suspended,
// which is why receivers of acts check tokens.
func (c *Client) now() time.Duration { return time.Since(c.startedAt) }

// Token returns the token to act under, and whether the duty is held now. Call it before each act: its
// answer is valid only at this moment.
func (c *Client) Token(d lease.Duty) (token uint64, held bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.holders[d]; h != nil {
		return h.Token(c.now())
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

// tickLocked sends the requests that are due, and leaves a voter that does not answer.
func (c *Client) tickLocked() {
	now := c.now()
	for d, h := range c.holders {
		c.logChangeLocked(d, h, now)
		// The group announces when a duty comes free. The pause is for an announcement that was lost.
		pause := c.timing.Duration/2 + rand.N(c.timing.Duration/2)
		if request, due := h.NextRequest(now, pause); due {
			c.sendLeaseRequestLocked(h, request)
		}
	}
	if c.sharedWatch != nil {
		c.sharedWatch.tickLocked(now)
	}
	c.leaveUnresponsiveVoterLocked()
}

// logChangeLocked logs when a duty was acquired or lost.
func (c *Client) logChangeLocked(d lease.Duty, h *lease.Holder, now time.Duration) {
	token, _ := h.Token(now)
	last := c.loggedTokens[d]
	if token == last {
		return
	}
	if token == 0 {
		slog.Info("group: duty lost", "duty", d, "token", last)
	} else {
		slog.Info("group: duty acquired", "duty", d, "token", token)
	}
	c.loggedTokens[d] = token
}

// List asks the leader for all leases and all voters. It waits for a leader until ctx is done, whose error it
// then wraps.
func (c *Client) List(ctx context.Context) (protocol.Snapshot, error) {
	for {
		responses := make(chan protocol.Response, 1)
		c.mu.Lock()
		c.sendLocked(protocol.Request{Kind: protocol.List}, func(r protocol.Response) { responses <- r })
		c.mu.Unlock()
		select {
		case r := <-responses:
			if r.Err == nil {
				return r.Snapshot, nil
			}
		case <-time.After(listRetry):
		case <-ctx.Done():
			return protocol.Snapshot{}, fmt.Errorf("no voter that leads was found: %w", ctx.Err())
		}
	}
}

// Close releases all duties and ends the client: no duty is held from its call on. It tries for up
// to patience to notify the group, so that other members need not wait until the leases expire. It
// returns when the client's goroutines have ended.
func (c *Client) Close(patience time.Duration) {
	c.mu.Lock()
	for _, h := range c.holders {
		h.Release()
	}
	c.tickLocked()
	c.mu.Unlock()
	deadline := time.Now().Add(patience)
	for time.Now().Before(deadline) && c.releasePending() {
		time.Sleep(releasePoll)
	}
	c.stop()
	<-c.done
}

// releasePending reports whether the group has not confirmed the release of a duty yet.
func (c *Client) releasePending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.holders {
		if h.ReleasePending(c.now()) {
			return true
		}
	}
	return false
}
