// Package client is a balancer's side of the control group: it wants duties, holds them as long as its
// own clock allows, and asks the voters for them one after the other until it finds the one that leads.
// Without the group it holds nothing, and whoever asks it for leave to act is told no.
package client

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"piernotch/internal/group"
	"piernotch/internal/group/lease"
	"piernotch/internal/group/protocol"
	"piernotch/internal/group/transport"
)

const (
	each   = 50 * time.Millisecond
	redial = 200 * time.Millisecond
	silent = time.Second // a voter that owes an answer for so long is left for another
)

// RequestObserver is told of every question and its answer, for a judge; err is set where none came.
type RequestObserver func(ask protocol.Request, asked, answered time.Time, answer protocol.Response, err error)

// Client is a running member.
type Client struct {
	cfg   group.Config
	me    lease.Process
	terms lease.Timing
	begun time.Time
	seen  RequestObserver
	stop  context.CancelFunc
	done  chan struct{}

	mu      sync.Mutex
	holders map[lease.Duty]*lease.Holder
	was     map[lease.Duty]uint64 // the token last told in the log; 0: none
	out     map[uint64]question
	key     uint64
	conn    *transport.Conn
	leader  string
	lists   *lists // nil: this balancer asks discovery itself
}

type question struct {
	q     protocol.Request
	asked time.Time
	then  func(protocol.Response)
}

// Start has a member want the duties of its configuration. seen may be nil.
func Start(cfg group.Config, seen RequestObserver) *Client {
	m := &Client{
		cfg: cfg, me: lease.Process{Name: cfg.Self, Incarnation: rand.Uint64()}, terms: lease.Timing{Duration: cfg.LeaseDuration, MaxClockDrift: cfg.MaxClockDrift},
		begun: time.Now(), seen: seen, done: make(chan struct{}),
		holders: map[lease.Duty]*lease.Holder{}, was: map[lease.Duty]uint64{}, out: map[uint64]question{},
	}
	for _, d := range cfg.Duties {
		m.holders[lease.Duty(d)] = lease.NewHolder(m.terms, m.me, lease.Duty(d))
	}
	if cfg.Watch != "" {
		m.lists = newLists(m, lease.Duty(cfg.Watch))
		m.holders[m.lists.duty] = lease.NewHolder(m.terms, m.me, m.lists.duty)
	}
	ctx, stop := context.WithCancel(context.Background())
	m.stop = stop
	go func() {
		defer close(m.done)
		var all sync.WaitGroup
		all.Go(func() { m.connect(ctx) })
		m.turns(ctx)
		all.Wait()
	}()
	return m
}

// now is the clock that holders go by. It is monotonic; it stands while a machine is suspended as a
// whole, which is why receivers check tokens.
func (m *Client) now() time.Duration { return time.Since(m.begun) }

// Token is the look at the clock before an act: the token to act under, if the duty is held.
func (m *Client) Token(d lease.Duty) (token uint64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h := m.holders[d]; h != nil {
		return h.Token(m.now())
	}
	return 0, false
}

func (m *Client) turns(ctx context.Context) {
	ticker := time.NewTicker(each)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		m.mu.Lock()
		m.turn()
		m.mu.Unlock()
	}
}

// turn does what is due; m.mu is held.
func (m *Client) turn() {
	now := m.now()
	for d, h := range m.holders {
		m.tell(d, h, now)
		// Who waits is told when the duty comes free; looking now and then is for when that is lost.
		pause := m.terms.Duration/2 + rand.N(m.terms.Duration/2)
		if a, is := h.NextRequest(now, pause); is {
			m.hold(h, a)
		}
	}
	if m.lists != nil {
		m.lists.turn(now)
	}
	m.silence()
}

// tell logs when a duty comes or goes.
func (m *Client) tell(d lease.Duty, h *lease.Holder, now time.Duration) {
	token, _ := h.Token(now)
	switch was := m.was[d]; {
	case token == was:
		return
	case token == 0:
		slog.Info("group: duty lost", "duty", d, "token", was)
	default:
		slog.Info("group: duty acquired", "duty", d, "token", token)
	}
	m.was[d] = token
}

// hold asks for a holder.
func (m *Client) hold(h *lease.Holder, a lease.Request) {
	sent := m.ask(protocol.RequestFor(a), func(b protocol.Response) {
		if protocol.IsFinal(b.Err) {
			h.HandleResponse(m.now(), a.Seq, b.Grant, b.Err)
		} else {
			h.RequestLost(a.Seq)
		}
	})
	if !sent {
		h.RequestLost(a.Seq)
	}
}

// ask sends a question, if there is a connection, and tells whether; m.mu is held, then is called
// under it, with ErrUnknown if no answer comes.
func (m *Client) ask(q protocol.Request, then func(protocol.Response)) bool {
	if m.conn == nil {
		return false
	}
	m.key++
	q.Key = m.key
	m.out[q.Key] = question{q, time.Now(), then}
	m.conn.Send(transport.Frame{Request: &transport.Request{Key: q.Key, Kind: q.Kind, Command: q.Command, Voter: q.Voter, Event: q.Event}})
	return true
}

// silence leaves a voter that does not answer.
func (m *Client) silence() {
	for _, q := range m.out {
		if time.Since(q.asked) > silent && m.conn != nil {
			m.conn.Close()
			m.leader = ""
			return
		}
	}
}

// connect keeps a connection to the voter that leads, or to any until one tells.
func (m *Client) connect(ctx context.Context) {
	next := rand.IntN(len(m.cfg.Voters))
	for ctx.Err() == nil {
		m.mu.Lock()
		to := m.cfg.Voters[next%len(m.cfg.Voters)]
		for _, v := range m.cfg.Voters {
			if v.Name == m.leader {
				to = v
			}
		}
		m.leader = ""
		m.mu.Unlock()
		next++
		c, err := transport.Dial(to.Address, func() transport.Handshake { return transport.Handshake{Group: m.cfg.Name, Name: m.cfg.Self} })
		if err == nil {
			ended := context.AfterFunc(ctx, c.Close)
			m.mu.Lock()
			m.conn = c
			if m.lists != nil {
				m.lists.connected()
			}
			m.turn()
			m.mu.Unlock()
			m.read(c)
			ended()
		}
		select {
		case <-ctx.Done():
		case <-time.After(rand.N(redial)):
		}
	}
}

func (m *Client) read(c *transport.Conn) {
	defer func() {
		m.mu.Lock()
		m.conn = nil
		for k, q := range m.out {
			m.saw(q, protocol.Response{}, transport.ErrClosed)
			q.then(protocol.Response{Err: protocol.ErrOutcomeUnknown})
			delete(m.out, k)
		}
		m.mu.Unlock()
	}()
	for {
		f, err := c.Read()
		if err != nil {
			return
		}
		if f.Response == nil {
			continue
		}
		t := f.Response
		m.mu.Lock()
		if h := m.holders[t.FreedDuty]; t.Key == 0 && h != nil {
			h.RetryNow()
			m.turn()
		}
		if t.Event != nil && m.lists != nil && t.Duty == m.lists.duty {
			m.lists.heard(t.Token, *t.Event)
		}
		q, is := m.out[t.Key]
		delete(m.out, t.Key)
		if is {
			a := protocol.Response{Key: t.Key, Grant: t.Grant, Snapshot: t.Snapshot, Err: t.Code.Err()}
			m.saw(q, a, nil)
			q.then(a)
			if errors.Is(a.Err, protocol.ErrNotLeader) {
				m.leader = t.Leader
				c.Close()
			}
		}
		m.mu.Unlock()
	}
}

func (m *Client) saw(q question, a protocol.Response, err error) {
	if m.seen != nil {
		m.seen(q.q, q.asked, time.Now(), a, err)
	}
}

// List asks the group for all that is held, and who votes.
func (m *Client) List(ctx context.Context) (protocol.Snapshot, error) {
	for {
		got := make(chan protocol.Response, 1)
		m.mu.Lock()
		m.ask(protocol.Request{Kind: protocol.List}, func(a protocol.Response) { got <- a })
		m.mu.Unlock()
		select {
		case a := <-got:
			if a.Err == nil {
				return a.Snapshot, nil
			}
		case <-time.After(silent / 2):
		case <-ctx.Done():
			return protocol.Snapshot{}, fmt.Errorf("no voter that leads was found: %w", ctx.Err())
		}
	}
}

// Close gives up all duties: it stops at once, and tells the group for as long as patience lasts, so
// that others need not wait for the end of the term.
func (m *Client) Close(patience time.Duration) {
	m.mu.Lock()
	for _, h := range m.holders {
		h.Release()
	}
	m.turn()
	m.mu.Unlock()
	for end := time.Now().Add(patience); time.Now().Before(end) && m.holds(); {
		time.Sleep(each / 5)
	}
	m.stop()
	<-m.done
}

// holds tells whether the group has not heard yet that a duty was given up.
func (m *Client) holds() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range m.holders {
		if h.ReleasePending(m.now()) {
			return true
		}
	}
	return false
}
