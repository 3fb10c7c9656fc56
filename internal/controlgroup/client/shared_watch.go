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

// sharedWatch is this balancer's part in the shared watch. The holder of the watch's duty publishes what its
// polls return, as events. The other members apply the events, and poll only while they receive none. The
// client's lock guards all state.
type sharedWatch struct {
	client   *Client
	duty     lease.Duty
	onUpdate controlgroup.OnUpdate
	address  string         // discovery's address, as passed to SharedWatch
	log      watch.EventLog // what this balancer's own polls returned
	follower *watch.Follower
	holder   *watch.Holder

	tenureToken      lease.Token // the token of the duty as last held
	publishedToken   lease.Token // the token of the last publication; 0: the whole log must be published again
	publishedVersion uint64      // the last version of log that was published
	currentSource    string      // the name of the discovery that this balancer uses now
	oversizedSource  string      // the discovery whose list is too large to be published; "": none
	knownSource      string      // the source of knownVersion
	knownVersion     uint64      // the last version that this balancer is known to have
	independent      bool        // whether this balancer polls without holding the duty, as of the last log line
	// reacquireAt is when to request the duty again, after it was released because discovery did not respond.
	// 0: no such request is due.
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

// SharedWatch joins the balancer to the shared watch, as controlgroup.JoinWatch describes. onUpdate is called
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

// lockedSharedWatch implements controlgroup.SharedWatch for the balancer. Each method takes the client's lock.
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

// commonName returns the name that all members use, as an event's Source, for the discovery at address. This is
// DiscoveryName if it is set and address is the one passed to SharedWatch, and otherwise address itself.
func (w *sharedWatch) commonName(address string) string {
	if w.client.cfg.DiscoveryName != "" && address == w.address {
		return w.client.cfg.DiscoveryName
	}
	return address
}

// tokenLocked returns the fencing token of the watch's duty, and whether this balancer holds the duty.
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
	// The published events must begin with a complete list of the current discovery, if that can be published.
	needsCompleteList := !hasEvents || logSource != w.currentSource
	return poll, held && needsCompleteList && w.oversizedSource != w.currentSource
}

// appendLocked adds the result of an own poll to the log, and publishes it if this balancer holds the duty. Without the
// complete list in the log there are no heartbeats either, so that the other members poll themselves.
func (w *sharedWatch) appendLocked(event controlgroup.WatchEvent) {
	event.Source = w.commonName(event.Source)
	w.knownSource = event.Source
	w.knownVersion = event.ToVersion
	w.oversizedSource = ""
	now := w.client.now()
	w.holder.PollSucceeded(now)
	if w.versionsBeganAnew(event) {
		w.log = watch.EventLog{}
		w.renewTokenLocked(now)
	}
	err := w.log.Append(0, event)
	switch {
	case errors.Is(err, watch.ErrVersionGap):
		w.log = watch.EventLog{} // the holder's next poll must then request a complete list
	case errors.Is(err, watch.ErrTooLarge):
		slog.Warn("group: list too large to be published, each member polls", "bytes", len(event.Body))
		w.log = watch.EventLog{}
		w.oversizedSource = event.Source
	default:
		w.publishLocked()
	}
}

// versionsBeganAnew reports whether an own poll returned a complete list with a lower version than the log: discovery
// has lost its versions.
func (w *sharedWatch) versionsBeganAnew(event controlgroup.WatchEvent) bool {
	source, version, hasEvents := w.log.Version()
	return hasEvents && event.Complete && event.Source == source && event.ToVersion < version
}

// renewTokenLocked releases the duty, if this balancer holds it, and requests it again at the next tick: under the
// present token the voters take the new versions for outdated ones.
func (w *sharedWatch) renewTokenLocked(now time.Duration) {
	if _, held := w.tokenLocked(now); !held {
		return
	}
	slog.Warn("group: duty released, versions of discovery began anew", "duty", w.duty)
	w.reacquireAt = now
	w.client.holders[w.duty].Release()
}

func (w *sharedWatch) requestUpdateLocked(source string, version uint64) {
	w.knownSource = w.commonName(source)
	w.knownVersion = version
	now := w.client.now()
	// Until the missing events arrive, each further event shows the same gap: one request per interval is enough.
	if now >= w.lastSubscribeAt+watch.DefaultTiming.HeartbeatInterval {
		w.lastSubscribeAt = now
		w.subscribeLocked()
	}
}

// subscribeLocked asks the leader for all events after the known version, and for each new one.
func (w *sharedWatch) subscribeLocked() {
	w.client.sendLocked(protocol.Request{
		Kind:    protocol.Subscribe,
		Command: lease.Command{Duty: w.duty},
		Event:   &controlgroup.WatchEvent{Source: w.knownSource, ToVersion: w.knownVersion},
	}, func(protocol.Response) {})
}

// connectedLocked handles a new connection, whose voter may have none of the events. The client subscribes;
// if it holds the watch's duty, the next tick publishes the whole log again.
func (w *sharedWatch) connectedLocked() {
	w.publishedToken = 0
	w.subscribeLocked()
}

// tickLocked publishes what is due while this balancer holds the duty: the whole log if the leader may not have
// it, and heartbeats otherwise. If discovery stops responding, tickLocked releases the duty, so that another member can
// try, and requests it again after two to four lease durations.
func (w *sharedWatch) tickLocked(now time.Duration) {
	token, held := w.tokenLocked(now)
	if held && token != w.tenureToken {
		w.startTenureLocked(now, token)
	}
	switch {
	case !held:
		released := !w.client.holders[w.duty].ReleasePending(now) // else the group would grant the old token again
		if w.reacquireAt > 0 && now >= w.reacquireAt && released {
			w.reacquireAt = 0
			w.client.acquire(w.duty)
		}
	case !w.holder.Healthy(now) && w.reacquireAt == 0:
		slog.Warn("group: duty released, discovery unreachable", "duty", w.duty)
		twoLeases := 2 * w.client.timing.Duration
		w.reacquireAt = now + twoLeases + rand.N(twoLeases)
		w.client.holders[w.duty].Release()
	case token != w.publishedToken:
		w.publishLocked()
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

// startTenureLocked handles the duty's acquisition. The log is published only if it is up to date: its polls go on
// without a failure, and no later version is known from another holder. Otherwise the next poll requests a complete
// list. The new holder has the full PollTimeout for that poll.
func (w *sharedWatch) startTenureLocked(now time.Duration, token lease.Token) {
	w.tenureToken = token
	source, version, _ := w.log.Version()
	upToDate := w.holder.Healthy(now) && source == w.knownSource && version == w.knownVersion
	if !upToDate {
		w.log = watch.EventLog{}
	}
	w.holder.PollSucceeded(now)
}

// publishLocked publishes what this balancer's own polls returned since the last publication, if the balancer holds
// the duty and is connected. If publishedToken differs from the duty's token, publishLocked publishes the whole log
// instead, which begins with the complete list.
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
	}
	w.publishedToken = token
	w.knownSource = source
	w.knownVersion = version
	for _, event := range events {
		w.publishEventLocked(token, event)
	}
	w.publishedVersion = version
}

// publishEventLocked publishes one event. If the leader rejects it because earlier events are missing or the
// token is stale, the next tick publishes the whole log again.
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

// handleEventLocked passes a holder's event to the balancer, with discovery's address as the Source. It ignores
// events of another discovery, events of a holder that has been replaced, and all events while this balancer holds
// the duty. Events of a lower version than the known one do not count either: if discovery has lost its versions,
// the balancer must poll for itself.
func (w *sharedWatch) handleEventLocked(token lease.Token, event controlgroup.WatchEvent) {
	outdated := event.Source == w.knownSource && event.ToVersion < w.knownVersion
	if event.Source != w.currentSource || outdated {
		return
	}
	now := w.client.now()
	if _, held := w.tokenLocked(now); held || !w.follower.EventReceived(now, token) {
		return
	}
	if applied, _ := event.Follows(w.knownSource, w.knownVersion); applied || w.knownSource != event.Source {
		w.knownSource = event.Source
		w.knownVersion = event.ToVersion
	}
	if event.Source == w.commonName(w.address) {
		event.Source = w.address
	}
	w.onUpdate(event)
}
