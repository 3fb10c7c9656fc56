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
	maxReconnectPause   = 200 * time.Millisecond // bound of the random pause before the next connection
	responseTimeout     = time.Second            // a connection whose voter takes longer to respond is closed
	listRetryInterval   = responseTimeout / 2
	releasePollInterval = tickInterval / 5
)

// Client is a running member of a group. Its methods are safe for concurrent use.
type Client struct {
	cfg       controlgroup.Config
	process   lease.Process
	timing    lease.Timing
	startedAt time.Time
	observer  RequestObserver // may be nil
	stop      context.CancelFunc
	done      chan struct{} // closed when both goroutines of the client have ended

	mu           sync.Mutex
	holders      map[lease.Duty]*lease.Holder
	loggedTokens map[lease.Duty]lease.Token // the last logged ones; 0 or absent: not held
	pending      map[uint64]pendingRequest
	lastKey      uint64          // the key of the last request
	conn         *transport.Conn // nil: not connected
	leader       string          // the name of the voter to try as leader next; "": not known
	sharedWatch  *sharedWatch    // nil: this balancer polls discovery for itself
}

// Start starts a member that tries to acquire the duties of its configuration. cfg must be valid; observer
// may be nil. The caller must call Close.
func Start(cfg controlgroup.Config, observer RequestObserver) *Client {
	return StartContext(context.Background(), cfg, observer)
}

// StartContext does the same as Start. Once ctx is done, the client closes its connection without releasing
// its duties. The caller must call Close in any case.
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
	go client.run(ctx) // until ctx is done or Close is called
	return client
}

// run is the first of the client's two goroutines. It starts the second, keepConnected, and awaits it.
func (c *Client) run(ctx context.Context) {
	defer close(c.done)
	var connections sync.WaitGroup
	connections.Go(func() { c.keepConnected(ctx) })
	c.tickUntilDone(ctx)
	connections.Wait()
}

// acquire makes the client request a duty, from the next tick on.
func (c *Client) acquire(d lease.Duty) {
	c.holders[d] = lease.NewHolder(c.timing, c.process, d)
}

// now returns the monotonic time by which leases are measured. It stands still while the machine is
// suspended, so a lease may expire unnoticed. Receivers of acts therefore check the fencing token of each act.
func (c *Client) now() time.Duration { return time.Since(c.startedAt) }

// Token returns the fencing token of a duty, and whether this process holds the duty now. Call it before each
// act: the lease may expire at any time after the call.
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

// tickLocked logs acquired and lost duties, sends all requests that are due, and disconnects from a voter that does
// not respond.
func (c *Client) tickLocked() {
	now := c.now()
	for duty, holder := range c.holders {
		c.logChangeLocked(duty, holder, now)
		// The group announces when a duty comes free. Retrying after a pause makes up for a lost announcement.
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

// logChangeLocked writes a log line if the duty was acquired or lost since the last call.
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

// List requests all leases and voters from the leader. It retries until a request succeeds or ctx is done.
// The error wraps ctx.Err().
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

// Close stops the client, which holds no duty from the call on. For up to releaseTimeout, Close waits for the
// group to confirm the releases, so that other members need not wait until the leases expire. It returns when
// the client's goroutines have ended.
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

// releasePending reports whether the group still has to confirm the release of a duty.
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
