// Package discovery holds the list of feed servers as discovery tells it: the
// form of the list on the wire, and the watch that follows its changes.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"slices"
	"strconv"
	"time"

	"piernotch"
	"piernotch/internal/group"
	"piernotch/internal/http1"
	"piernotch/internal/serve/core"
	"piernotch/internal/serve/eventloop"
)

const (
	path = "/catalog/members"
	wait = 5 * time.Second // how long discovery may hold a watch
	// grace is how much longer it may be silent. What a silent watch misses counts as told two seconds
	// after the wait, so the next call has to be answered by then.
	grace   = time.Second
	dialFor = time.Second
	maxList = 4 << 20
	// pause is the least time from one call to the next: a discovery that answers
	// at once, though nothing has changed, must not be asked without end. It
	// stays well under the 200 ms in which a watch counts as going on.
	pause = 100 * time.Millisecond
	// lookAgain is how often a balancer that another one asks for looks whether that still holds.
	lookAgain = 50 * time.Millisecond
	// pushPause is the time between two tries where the list is pushed: who pushes it is near, and what
	// it has counts as told.
	pushPause = 200 * time.Millisecond
)

type listJSON struct {
	Generation *uint64 `json:"generation"`
	Reset      bool    `json:"reset"`
	Instances  []struct {
		InstanceID  string  `json:"instanceId"`
		HostPort    string  `json:"hostPort"`
		Zone        string  `json:"zone"`
		Cell        int     `json:"cell"`
		Lifecycle   string  `json:"lifecycle"`
		Weight      float64 `json:"weight"`
		StartedAtMs float64 `json:"startedAtMs"`
	} `json:"instances"`
}

var states = map[string]piernotch.State{
	"in_service": piernotch.Ready, "terminating": piernotch.Draining, "terminated": piernotch.Gone,
}

// EndpointList is the whole list of feed servers, or what has changed of it.
type EndpointList struct {
	Generation uint64
	Reset      bool
	Endpoints  []core.DiscoveredEndpoint
}

// Parse reads a list. Zones are given by their place among zones; an unknown one
// is nobody's own.
func Parse(data []byte, zones []string) (EndpointList, error) {
	var in listJSON
	if err := json.Unmarshal(data, &in); err != nil {
		return EndpointList{}, fmt.Errorf("list: %w", err)
	}
	if in.Generation == nil {
		return EndpointList{}, fmt.Errorf("list: no generation")
	}
	out := EndpointList{Generation: *in.Generation, Reset: in.Reset}
	for i, e := range in.Instances {
		state, ok := states[e.Lifecycle]
		if !ok {
			return EndpointList{}, fmt.Errorf("list: instances[%d].lifecycle is %q", i, e.Lifecycle)
		}
		if e.InstanceID == "" {
			return EndpointList{}, fmt.Errorf("list: instances[%d].instanceId is missing", i)
		}
		if host, _, err := net.SplitHostPort(e.HostPort); state != piernotch.Gone && (err != nil || net.ParseIP(host) == nil) {
			return EndpointList{}, fmt.Errorf("list: instances[%d].hostPort is %q", i, e.HostPort)
		}
		out.Endpoints = append(out.Endpoints, core.DiscoveredEndpoint{
			Name: e.InstanceID, Address: e.HostPort,
			Endpoint: piernotch.Endpoint{
				Zone: slices.Index(zones, e.Zone), Cell: e.Cell, State: state, Size: e.Weight,
				StartedAt: time.Duration(e.StartedAtMs * float64(time.Millisecond)),
			},
		})
	}
	return out, nil
}

// Watcher follows the list. Each call after an answer follows at once: a later
// one would count as a new watch.
type Watcher struct {
	engine  *eventloop.Loop
	emit    func(core.Event)
	now     func() time.Duration
	address string
	zones   []string
	version uint64
	whole   bool // the next call asks for the whole list
	pushed  bool // the module asks for no list: the watch goes on by itself
	anew    bool // the call that is out stands in for one that fell silent
	conn    *conn
	epoch   int           // counts moves: what an earlier address still says is void
	asking  bool          // a call is out or is being made
	asked   time.Duration // when the last call was made
	askAt   time.Duration // when the next is due; 0: none is
	until   time.Duration
	lists   group.SharedWatch // nil: this balancer asks for itself alone
}

type conn struct {
	w      *Watcher
	sock   *eventloop.Conn
	parser *http1.Parser
}

// New returns a watcher that knows the list up to version.
func New(engine *eventloop.Loop, emit func(core.Event), now func() time.Duration, address string, zones []string, version uint64) *Watcher {
	return &Watcher{engine: engine, emit: emit, now: now, address: address, zones: zones, version: version}
}

// Version is the last version of the list that is known.
func (w *Watcher) Version() uint64 { return w.version }

// Resume starts from a list that another watcher had, of this discovery or of another one, whose
// versions mean nothing here.
func (w *Watcher) Resume(version uint64, same bool) { w.version, w.whole = version, !same }

// UseSharedWatch has the watch go by a group in which one balancer may ask for many; nil: it does not.
func (w *Watcher) UseSharedWatch(lists group.SharedWatch) { w.lists = lists }

// ReceiveShared takes a list that another balancer was told. What is older than what is known is not taken, and
// what does not follow it is looked for.
func (w *Watcher) ReceiveShared(p group.WatchEvent) {
	take, missing := p.Follows(w.address, w.version)
	if w.whole && p.Source == w.address { // what is known is of another discovery
		take, missing = p.Whole, !p.Whole
	}
	if missing {
		known := w.version
		if w.whole {
			known = 0
		}
		w.lists.RequestUpdate(w.address, known)
	}
	if !take {
		return
	}
	list, err := Parse(p.Body, w.zones)
	if err != nil {
		slog.Warn("shared endpoint update rejected", "generation", p.ToVersion, "err", err)
		return
	}
	w.told(list)
}

// SetPush has the watch go on by itself from now on, whatever fails.
func (w *Watcher) SetPush() {
	w.pushed = true
	w.Watch()
}

// Watch begins the watch, unless one stands.
func (w *Watcher) Watch() {
	if w.asking {
		return
	}
	w.asking = true
	if due := w.asked + pause; w.now() < due {
		w.ask(due)
		return
	}
	w.begin()
}

// ask has the next call made at a time.
func (w *Watcher) ask(at time.Duration) {
	w.asking, w.askAt = true, at
	w.until = at + dialFor + wait + grace
}

// Move leaves the address that is watched for another. Its versions are its own,
// so the whole list is asked for; late answers from the old address find nobody.
func (w *Watcher) Move(address string) {
	w.hangUp()
	w.epoch++
	w.address, w.whole, w.asking, w.anew, w.asked = address, true, false, false, 0
	w.Watch()
}

// begin makes a call, on the connection that stands or on a new one.
func (w *Watcher) begin() {
	if w.lists != nil {
		ask, whole := w.lists.ShouldPoll(w.address)
		if !ask { // the call is made once nobody asks for this balancer any more
			w.ask(w.now() + lookAgain)
			return
		}
		w.whole = w.whole || whole
	}
	w.askAt, w.asked = 0, w.now()
	w.until = w.asked + dialFor + wait + grace
	if w.conn != nil {
		w.call()
		return
	}
	c, epoch := &conn{w: w, parser: http1.NewResponseParser(maxList)}, w.epoch
	w.engine.Dial(w.address, dialFor, func(s *eventloop.Conn) eventloop.Handler {
		c.sock = s
		s.Prioritize()
		return c
	}, func(s *eventloop.Conn, err error) {
		switch {
		case w.epoch != epoch:
			if err == nil {
				s.Close()
			}
		case err != nil:
			w.fail(err)
		default:
			w.conn = c
			w.call()
		}
	})
}

// call writes the call.
func (w *Watcher) call() {
	w.until = w.now() + wait + grace
	target := path
	if !w.whole {
		target += "?index=" + strconv.FormatUint(w.version, 10) + "&wait=" + strconv.FormatInt(wait.Milliseconds(), 10)
	}
	// An error is reported as a close, which fails the call.
	_ = w.conn.sock.Write(http1.AppendRequest(nil, http1.MethodGet, target,
		http1.Fields{{Name: "Host", Value: w.address}}, nil))
}

// fail ends the watch; the module decides when to ask again.
func (w *Watcher) fail(err error) {
	slog.Warn("discovery failed", "address", w.address, "generation", w.version, "err", err)
	w.asking, w.askAt, w.anew = false, 0, false
	if w.lists != nil {
		w.lists.PollFailed()
	}
	w.hangUp()
	w.emit(core.EndpointUpdate{Kind: piernotch.UpdateFailed})
	if w.pushed && !w.asking {
		w.ask(w.now() + pushPause)
	}
}

func (w *Watcher) hangUp() {
	if w.conn != nil {
		w.conn.sock.Close()
		w.conn = nil
	}
}

// Tick gives up a call that has been silent for too long: a discovery that
// vanished says nothing, and its connection stays open. The watch may have died alone, and what
// it misses counts as told soon: the call is made anew at once, and fails if that is silent, too.
func (w *Watcher) Tick() {
	if w.askAt > 0 && w.now() >= w.askAt {
		w.begin()
	}
	if !w.asking || w.now() <= w.until {
		return
	}
	if w.conn == nil || w.anew {
		w.fail(fmt.Errorf("silent for too long"))
		return
	}
	slog.Warn("watch timeout", "address", w.address, "generation", w.version)
	w.hangUp()
	w.anew = true
	w.begin()
}

// Data takes bytes from discovery.
func (c *conn) Data(data []byte) {
	if c.w.conn != c {
		return
	}
	if !c.w.asking || c.w.askAt > 0 {
		c.w.fail(fmt.Errorf("%d bytes that nobody asked for", len(data)))
		return
	}
	c.parser.Feed(data)
	m, err := c.parser.Next()
	switch {
	case err != nil:
		c.w.fail(err)
	case m != nil:
		c.w.answered(m)
	}
}

// Closed takes the end of the connection, which may complete an answer.
func (c *conn) Closed(err error) {
	if c.w.conn != c {
		return
	}
	var m *http1.Message
	if errors.Is(err, io.EOF) { // an answer that breaks off is not whole
		m = c.parser.End()
	}
	switch {
	case m != nil:
		c.w.answered(m)
	case c.w.asking && c.w.askAt == 0:
		c.w.fail(fmt.Errorf("connection ended: %v", err))
	default:
		c.w.conn = nil
	}
}

// told takes a list to the core.
func (w *Watcher) told(list EndpointList) {
	w.version, w.whole = list.Generation, w.whole && !list.Reset
	kind := piernotch.UpdateDelta
	if list.Reset {
		kind = piernotch.UpdateFull
	}
	for _, e := range list.Endpoints {
		slog.Info("endpoint update", "server", e.Name, "address", e.Address, "state", e.Endpoint.State, "generation", w.version)
	}
	w.emit(core.EndpointUpdate{Kind: kind, Endpoints: list.Endpoints})
}

func (w *Watcher) answered(m *http1.Message) {
	if m.Status != http1.StatusOK {
		w.fail(fmt.Errorf("status %d", m.Status))
		return
	}
	list, err := Parse(m.Body, w.zones)
	if err != nil {
		w.fail(err)
		return
	}
	if w.lists != nil {
		p := group.WatchEvent{Source: w.address, FromVersion: w.version, ToVersion: list.Generation, Whole: list.Reset, Body: m.Body}
		if p.Whole {
			p.FromVersion = 0
		}
		w.lists.Publish(p)
	}
	// A call that was out while another balancer's list came may bring an older one.
	if w.lists == nil || list.Reset || list.Generation >= w.version {
		w.told(list)
	}
	w.asking, w.anew = false, false
	if m.Close {
		w.hangUp()
	}
	w.Watch()
}
