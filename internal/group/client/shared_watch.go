package client

import (
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"piernotch/internal/group"
	"piernotch/internal/group/lease"
	"piernotch/internal/group/protocol"
	"piernotch/internal/group/watch"
)

// lists is the duty of asking discovery for all: who holds it publishes what it is told, the others
// take that and ask themselves only where nothing comes. All of it is under the member's lock.
type lists struct {
	m        *Client
	duty     lease.Duty
	take     group.OnUpdate
	address  string         // where this balancer reaches what the group calls cfg.Source
	own      watch.EventLog // what this balancer's own calls brought
	follower *watch.Follower
	holder   *watch.Holder
	token    uint64 // under which own was published last
	sent     uint64 // up to this version
	by       string // the discovery that this balancer goes by now
	source   string // what is known here
	version  uint64
	alone    bool          // as last told in the log
	rests    time.Duration // does not want the duty until then: its own watch failed
	behind   time.Duration // when it last asked for what it lacks
}

func newLists(m *Client, d lease.Duty) *lists {
	now := m.now()
	return &lists{
		m: m, duty: d, take: func(group.WatchEvent) {}, holder: watch.NewHolder(watch.DefaultTiming, now),
		follower: watch.NewFollower(watch.DefaultTiming, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), now),
	}
}

// SharedWatch is the member's side of the balancer's watch; it is a group.Join. take is called from the
// member's goroutines.
func (m *Client) SharedWatch(source string, take group.OnUpdate) group.SharedWatch {
	if m.lists == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lists.take, m.lists.address = take, source
	m.lists.by = m.lists.common(source)
	return seam{m.lists}
}

// seam is lists as the balancer sees it.
type seam struct{ l *lists }

func (s seam) ShouldPoll(source string) (ask, whole bool) {
	l := s.l
	l.m.mu.Lock()
	defer l.m.mu.Unlock()
	l.by = l.common(source)
	now := l.m.now()
	_, holds := l.m.holders[l.duty].Token(now)
	ask = l.follower.ShouldPoll(now, holds)
	if alone := l.follower.Independent() && !holds; alone != l.alone {
		l.alone = alone
		slog.Info("group: polling discovery", "independent", alone, "duty", l.duty)
	}
	from, _, any := l.own.Version()
	return ask, holds && (!any || from != l.by)
}

// common is the name that all balancers have for a discovery that this one reaches at an address.
func (l *lists) common(address string) string {
	if l.m.cfg.Source != "" && address == l.address {
		return l.m.cfg.Source
	}
	return address
}

func (s seam) Publish(p group.WatchEvent) {
	l := s.l
	l.m.mu.Lock()
	defer l.m.mu.Unlock()
	p.Source = l.common(p.Source)
	l.source, l.version = p.Source, p.ToVersion
	l.holder.PollSucceeded(l.m.now())
	if err := l.own.Append(0, p); errors.Is(err, watch.ErrVersionGap) {
		l.own = watch.EventLog{} // a whole list comes next, if it is to be published
		return
	}
	l.publish()
}

func (s seam) PollFailed() {
	s.l.m.mu.Lock()
	defer s.l.m.mu.Unlock()
	s.l.holder.PollFailed()
}

func (s seam) RequestUpdate(source string, version uint64) {
	l := s.l
	l.m.mu.Lock()
	defer l.m.mu.Unlock()
	l.source, l.version = l.common(source), version
	if now := l.m.now(); now >= l.behind+watch.DefaultTiming.HeartbeatInterval { // posts that come meanwhile say the same
		l.behind = now
		l.follow()
	}
}

// follow has the group tell what leads on from what is known here.
func (l *lists) follow() {
	l.m.ask(protocol.Request{
		Kind: protocol.Subscribe, Command: lease.Command{Duty: l.duty}, Event: &group.WatchEvent{Source: l.source, ToVersion: l.version},
	}, func(protocol.Response) {})
}

// connected begins again with another voter: it may know nothing.
func (l *lists) connected() {
	l.token = 0
	l.follow()
}

// turn says that the watch stands, and gives the duty up where it does not.
func (l *lists) turn(now time.Duration) {
	h := l.m.holders[l.duty]
	token, holds := h.Token(now)
	switch {
	case !holds:
		if l.rests > 0 && now >= l.rests {
			l.rests = 0
			l.m.holders[l.duty] = lease.NewHolder(l.m.terms, l.m.me, l.duty)
		}
	case token != l.token:
		l.publish()
	case !l.holder.Healthy(now) && l.rests == 0:
		slog.Warn("group: duty released, discovery unreachable", "duty", l.duty)
		l.rests = now + 2*l.m.terms.Duration + rand.N(2*l.m.terms.Duration)
		h.Release()
	case l.holder.HeartbeatDue(now):
		if source, version, any := l.own.Version(); any {
			l.post(token, group.WatchEvent{Source: source, FromVersion: version, ToVersion: version})
		}
	}
}

// publish passes on what own calls brought. A new token begins with the whole list.
func (l *lists) publish() {
	now := l.m.now()
	token, holds := l.m.holders[l.duty].Token(now)
	source, version, any := l.own.Version()
	if !holds || !any || l.m.conn == nil {
		return
	}
	posts := l.own.Since(source, l.sent)
	if l.token != token {
		posts = l.own.Since("", 0)
		l.holder.PollSucceeded(now) // it has a chance to show that its watch stands
	}
	l.token, l.source, l.version = token, source, version
	for _, p := range posts {
		l.post(token, p)
	}
	l.sent = version
}

// post sends one. A voter that lacks what is before it has to hear all again.
func (l *lists) post(token uint64, p group.WatchEvent) {
	l.m.ask(protocol.Request{
		Kind: protocol.Publish, Command: lease.Command{Duty: l.duty, Process: l.m.me, Token: token}, Event: &p,
	}, func(a protocol.Response) {
		if errors.Is(a.Err, watch.ErrVersionGap) || errors.Is(a.Err, watch.ErrStaleToken) {
			l.token = 0
		}
	})
}

// heard takes what a holder has published.
func (l *lists) heard(token uint64, p group.WatchEvent) {
	if p.Source != l.by { // a holder that asks another discovery is none of this balancer's
		return
	}
	if _, holds := l.m.holders[l.duty].Token(l.m.now()); holds || !l.follower.Heartbeat(l.m.now(), token) {
		return
	}
	if p.Source == l.common(l.address) {
		p.Source = l.address
	}
	l.take(p)
}
