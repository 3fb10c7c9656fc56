package client

import (
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"piernotch/internal/controlgroup"
	"piernotch/internal/controlgroup/lease"
	"piernotch/internal/controlgroup/protocol"
	"piernotch/internal/controlgroup/watch"
)

// sharedWatch is the duty of polling discovery for all members. The holder of the duty publishes what its
// polls return; the others apply that, and poll only when no events reach them. All state is
// under the client's lock.
type sharedWatch struct {
	client   *Client
	duty     lease.Duty
	onUpdate controlgroup.OnUpdate
	address  string         // where this balancer reaches what the group calls cfg.Source
	log      watch.EventLog // what this balancer's own polls returned
	follower *watch.Follower
	holder   *watch.Holder

	publishedToken   lease.Token // the token under which log was published last; 0: it has to be published again
	publishedVersion uint64      // how far log was published
	currentSource    string      // the discovery that this balancer uses now
	knownSource      string      // of knownVersion
	knownVersion     uint64      // the last version that this balancer is known to have
	independent      bool        // as logged last: polls although it does not hold the duty
	// reacquireAt > 0: the duty was released because discovery did not respond, and is acquired again from
	// then on.
	reacquireAt     time.Duration
	lastSubscribeAt time.Duration // when missing events were requested last
}

func newSharedWatch(client *Client, duty lease.Duty) *sharedWatch {
	now := client.now()
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &sharedWatch{
		client:   client,
		duty:     duty,
		onUpdate: func(controlgroup.WatchEvent) {},
		holder:   watch.NewHolder(watch.DefaultTiming, now),
		follower: watch.NewFollower(watch.DefaultTiming, rng, now),
	}
}

// SharedWatch begins the balancer's part in the shared watch; it is a controlgroup.JoinWatch. onUpdate is called
// from the client's goroutines.
func (c *Client) SharedWatch(source string, onUpdate controlgroup.OnUpdate) controlgroup.SharedWatch {
	if c.sharedWatch == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sharedWatch.onUpdate = onUpdate
	c.sharedWatch.address = source
	c.sharedWatch.currentSource = c.sharedWatch.commonName(source)
	return lockedSharedWatch{c.sharedWatch}
}

// lockedSharedWatch is the shared watch as the balancer sees it: each method takes the client's lock.
type lockedSharedWatch struct{ w *sharedWatch }

// ShouldPoll implements controlgroup.SharedWatch.
func (l lockedSharedWatch) ShouldPoll(source string) (poll, complete bool) {
	l.w.client.mu.Lock()
	defer l.w.client.mu.Unlock()
	return l.w.shouldPollLocked(source)
}

// Publish implements controlgroup.SharedWatch.
func (l lockedSharedWatch) Publish(e controlgroup.WatchEvent) {
	l.w.client.mu.Lock()
	defer l.w.client.mu.Unlock()
	l.w.appendLocked(e)
}

// PollFailed implements controlgroup.SharedWatch.
func (l lockedSharedWatch) PollFailed() {
	l.w.client.mu.Lock()
	defer l.w.client.mu.Unlock()
	l.w.holder.PollFailed()
}

// RequestUpdate implements controlgroup.SharedWatch.
func (l lockedSharedWatch) RequestUpdate(source string, version uint64) {
	l.w.client.mu.Lock()
	defer l.w.client.mu.Unlock()
	l.w.requestUpdateLocked(source, version)
}

// commonName returns the name that all members have for the discovery that this one reaches at an address.
func (w *sharedWatch) commonName(address string) string {
	if w.client.cfg.DiscoveryName != "" && address == w.address {
		return w.client.cfg.DiscoveryName
	}
	return address
}

// tokenLocked returns the token of the duty, and whether this balancer holds it.
func (w *sharedWatch) tokenLocked(now time.Duration) (token lease.Token, held bool) {
	return w.client.holders[w.duty].Token(now)
}

func (w *sharedWatch) shouldPollLocked(source string) (poll, complete bool) {
	w.currentSource = w.commonName(source)
	now := w.client.now()
	_, held := w.tokenLocked(now)
	role := watch.RoleFollower
	if held {
		role = watch.RoleHolder
	}
	poll = w.follower.ShouldPoll(now, role)
	if independent := w.follower.Independent() && !held; independent != w.independent {
		w.independent = independent
		slog.Info("group: polling discovery", "independent", independent, "duty", w.duty)
	}
	logSource, _, hasEvents := w.log.Version()
	// What is published begins with a complete list of the current discovery.
	needsCompleteList := !hasEvents || logSource != w.currentSource
	return poll, held && needsCompleteList
}

func (w *sharedWatch) appendLocked(event controlgroup.WatchEvent) {
	event.Source = w.commonName(event.Source)
	w.knownSource = event.Source
	w.knownVersion = event.ToVersion
	w.holder.PollSucceeded(w.client.now())
	if err := w.log.Append(0, event); errors.Is(err, watch.ErrVersionGap) {
		w.log = watch.EventLog{} // shouldPollLocked requests a complete list next
		return
	}
	w.publishLocked()
}

func (w *sharedWatch) requestUpdateLocked(source string, version uint64) {
	w.knownSource = w.commonName(source)
	w.knownVersion = version
	now := w.client.now()
	// Until the response is here, each further event shows the same gap.
	if now >= w.lastSubscribeAt+watch.DefaultTiming.HeartbeatInterval {
		w.lastSubscribeAt = now
		w.subscribeLocked()
	}
}

// subscribeLocked requests from the leader all events after the known version, from now on.
func (w *sharedWatch) subscribeLocked() {
	w.client.sendLocked(protocol.Request{
		Kind:    protocol.Subscribe,
		Command: lease.Command{Duty: w.duty},
		Event:   &controlgroup.WatchEvent{Source: w.knownSource, ToVersion: w.knownVersion},
	}, func(protocol.Response) {})
}

// connectedLocked starts over with another voter, which may have none of the events.
func (w *sharedWatch) connectedLocked() {
	w.publishedToken = 0
	w.subscribeLocked()
}

// tickLocked publishes heartbeats while this balancer holds the duty, and releases the duty while discovery
// does not respond to it, so that another member may try.
func (w *sharedWatch) tickLocked(now time.Duration) {
	token, held := w.tokenLocked(now)
	switch {
	case !held:
		if w.reacquireAt > 0 && now >= w.reacquireAt {
			w.reacquireAt = 0
			w.client.acquire(w.duty)
		}
	case token != w.publishedToken:
		w.publishLocked()
	case !w.holder.Healthy(now) && w.reacquireAt == 0:
		slog.Warn("group: duty released, discovery unreachable", "duty", w.duty)
		twoLeases := 2 * w.client.timing.Duration
		w.reacquireAt = now + twoLeases + rand.N(twoLeases)
		w.client.holders[w.duty].Release()
	case w.holder.HeartbeatDue(now):
		if source, version, hasEvents := w.log.Version(); hasEvents {
			w.publishEventLocked(token, controlgroup.WatchEvent{
				Source:      source,
				FromVersion: version,
				ToVersion:   version,
			})
		}
	}
}

// publishLocked publishes what own polls returned since the last call. Under a new token it begins with the
// complete list.
func (w *sharedWatch) publishLocked() {
	now := w.client.now()
	token, held := w.tokenLocked(now)
	source, version, hasEvents := w.log.Version()
	if !held || !hasEvents || w.client.conn == nil {
		return
	}
	events := w.log.Since(source, w.publishedVersion)
	if w.publishedToken != token {
		events = w.log.Since("", 0)
		w.holder.PollSucceeded(now) // a new holder gets the whole timeout for its first poll
	}
	w.publishedToken = token
	w.knownSource = source
	w.knownVersion = version
	for _, event := range events {
		w.publishEventLocked(token, event)
	}
	w.publishedVersion = version
}

// publishEventLocked publishes one event. If the leader lacks what precedes it, all is published again.
func (w *sharedWatch) publishEventLocked(token lease.Token, event controlgroup.WatchEvent) {
	w.client.sendLocked(protocol.Request{
		Kind:    protocol.Publish,
		Command: lease.Command{Duty: w.duty, Process: w.client.process, Token: token},
		Event:   &event,
	}, func(response protocol.Response) {
		if errors.Is(response.Err, watch.ErrVersionGap) || errors.Is(response.Err, watch.ErrStaleToken) {
			w.publishedToken = 0
		}
	})
}

// handleEventLocked passes an event of the holder on to the balancer. It ignores a holder that polls
// another discovery, one that has been replaced, and this balancer's own events.
func (w *sharedWatch) handleEventLocked(token lease.Token, event controlgroup.WatchEvent) {
	if event.Source != w.currentSource {
		return
	}
	now := w.client.now()
	if _, held := w.tokenLocked(now); held || !w.follower.EventReceived(now, token) {
		return
	}
	if event.Source == w.commonName(w.address) {
		event.Source = w.address
	}
	w.onUpdate(event)
}
