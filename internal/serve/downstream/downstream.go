// Package downstream holds the clients' connections: it reads their requests, says at
// once what is wrong with a bad one, and writes the one answer to each.
package downstream

import (
	"cmp"
	"errors"
	"hash/fnv"
	"log/slog"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"piernotch"
	"piernotch/internal/http1"
	"piernotch/internal/serve/core"
	"piernotch/internal/serve/eventloop"
	"piernotch/internal/serve/upstream"
)

const (
	// margin is how long before the client's own deadline an answer must be on
	// its way: the request took time to arrive, and so will the answer.
	margin = 10 * time.Millisecond
	// silentFor is how long a new connection may say nothing at all, and readFor
	// how long a request may take from its first byte to its last. Whoever means
	// harm opens connections by hundreds for either.
	silentFor = 2 * time.Second
	readFor   = 2 * time.Second
	// writeFor is how long a client may take to read its answer.
	writeFor = 10 * time.Second
	// keep is how long a connection is kept between two requests, and keepCrowded
	// how long if clients hold a quarter of all descriptors. Some ask once and stay
	// for good: what they hold is not there for the others' requests.
	keep        = 2 * time.Second
	keepCrowded = 300 * time.Millisecond
	// lingerFor is how long what still comes is read and thrown away once the sending side has
	// ended, until the client ends its own: a close over unread bytes is a reset, which would take
	// an answer with it that is still on its way.
	lingerFor = 2 * time.Second
	// leaveFor is how long clients that were sent away may leave a connection idle: it may be
	// in use a moment later, and then its answer ends it.
	leaveFor = 2500 * time.Millisecond
	// When descriptors are short, so many connections give way at a time, the
	// least use first: those that said nothing, or are long at it, for so long.
	// One that has just come, or just had its answer, is spared: its request is
	// on its way.
	giveWay     = 16
	spareSilent = 50 * time.Millisecond
	spareHalf   = 500 * time.Millisecond
	spareIdle   = 100 * time.Millisecond
	spareShut   = 100 * time.Millisecond // the end of the sending side is on its way
	// spareNew is how long an end waits for the request of a connection that has just come.
	spareNew = 300 * time.Millisecond
	// maxID bounds a request's id.
	maxID = 128
)

// Downstream holds all client connections.
type Downstream struct {
	emit    func(core.Event)
	now     func() time.Duration
	ready   func() bool
	routes  map[string][]core.Route // by name
	waits   []time.Duration         // the longest of each class
	tenants []piernotch.Tenant
	conns   map[*conn]struct{}
	waiting map[core.ExchangeID]*conn
	last    core.ExchangeID
	ending  bool
	stale   stale
	drained time.Duration // since when clients are sent away; 0: they are not
	crowd   int           // so many connections are a crowd
}

// stale is the time after the process stood still: what is read until then may have come at from.
type stale struct{ from, until time.Duration }

// readWithin is how long it may take after a stall until all that came meanwhile has been read.
const readWithin = 50 * time.Millisecond

// Stalled says that nothing was read for so long.
func (f *Downstream) Stalled(gap time.Duration) {
	now := f.now()
	if f.stale.until < now {
		f.stale.from = now - gap
	}
	f.stale.until = now + readWithin
}

// came is when the request that is read now may have come. A client's time runs from its sending: a
// process that stood still would take old requests for new ones, and serve them too late. Taken for
// older than it is, a request is refused at worst, which is true: it was sent to nobody.
func (f *Downstream) came() time.Duration {
	if now := f.now(); now >= f.stale.until {
		return now
	}
	return f.stale.from
}

type conn struct {
	f      *Downstream
	sock   *eventloop.Conn
	parser *http1.Parser
	client core.ExchangeID // the exchange that is owed an answer; 0: none
	final  bool            // to be closed when the request in hand is answered
	asked  bool            // has sent a byte
	since  time.Duration   // when the request in hand, or else the quiet, began; of the shutdown, once shut
	dying  bool            // nothing is read any more; shuts once all is written
	shut   bool            // the sending side has ended; closes once the client's has
}

// New returns a front with no connections. ready says whether requests can be
// served.
func New(emit func(core.Event), now func() time.Duration, ready func() bool, sockets int) *Downstream {
	return &Downstream{
		emit: emit, now: now, ready: ready, crowd: sockets / 4,
		conns: map[*conn]struct{}{}, waiting: map[core.ExchangeID]*conn{},
	}
}

// SetRoutes has requests taken by these names from now on. waits is how long a client of each class
// may wait at most, and tenants are the customers that requests name.
func (f *Downstream) SetRoutes(routes []core.Route, waits []time.Duration, tenants []piernotch.Tenant) {
	f.routes, f.waits, f.tenants = map[string][]core.Route{}, waits, tenants
	for _, r := range routes {
		f.routes[r.Name] = append(f.routes[r.Name], r)
	}
}

// SetDraining sends clients away, or takes them again. Each answer ends its connection from now on,
// and connections on which nothing comes are closed a little later.
func (f *Downstream) SetDraining(on bool) {
	f.drained = 0
	if on {
		f.drained = f.now()
	}
}

// Accepted takes in a new connection.
func (f *Downstream) Accepted(s *eventloop.Conn) eventloop.Handler {
	c := &conn{f: f, sock: s, parser: http1.NewRequestParser(), since: f.now()}
	f.conns[c] = struct{}{}
	return c
}

// ConnectionCount returns how many client connections are open.
func (f *Downstream) ConnectionCount() int { return len(f.conns) }

// Data takes bytes from a client.
func (c *conn) Data(data []byte) {
	if c.dying {
		return
	}
	if c.client != 0 {
		// One request at a time: what comes before the answer is a body longer than
		// it was said to be, or a request hidden behind one.
		c.gone()
		c.bad(http1.StatusBadRequest, "bytes beyond the request")
		return
	}
	if c.parser.Idle() {
		c.since = c.f.now()
	}
	c.asked = true
	c.parser.Feed(data)
	c.read()
}

// bad answers what cannot be served on a connection that cannot go on.
func (c *conn) bad(status int, reason string) {
	slog.Info("bad request", "status", status, "err", reason)
	c.final = true
	c.plain(status, reason)
}

// read serves the next whole request, if there is one.
func (c *conn) read() {
	for c.client == 0 && !c.dying {
		m, err := c.parser.Next()
		if err != nil {
			status := http1.StatusBadRequest
			if e, ok := err.(*http1.Error); ok {
				status = e.Status
			}
			c.bad(status, err.Error())
			return
		}
		if m == nil {
			if c.parser.ExpectsContinue() {
				_ = c.sock.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
			}
			return
		}
		if !c.parser.Idle() {
			c.bad(http1.StatusBadRequest, "bytes beyond the request")
			return
		}
		c.final = m.Close || c.f.ending || c.f.drained > 0
		c.serve(m)
	}
}

func (c *conn) serve(m *http1.Message) {
	path := m.Path()
	if path == "/_health" {
		c.health(m)
		return
	}
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	class, method := c.f.class(name, m.Method)
	switch {
	case method == "":
		c.plain(http1.StatusNotFound, "no such class")
		return
	case m.Method != method:
		c.plain(http1.StatusMethodNotAllowed, "use "+method, http1.Field{Name: "Allow", Value: method})
		return
	}
	id, wait, reason := named(m, c.f.waits[class])
	if reason != "" {
		c.plain(http1.StatusBadRequest, reason)
		return
	}
	if c.sock.PeerClosed() { // it left behind its request, which was not looked at sooner
		return
	}
	c.f.last++
	c.client = c.f.last
	c.f.waiting[c.client] = c
	c.f.emit(core.RequestReceived{
		Client: c.client, ID: id, Class: class, Tenant: c.f.tenant(m.Fields.Get("x-tenant")), Key: key(m.Query("k")), Hint: hint(m.Fields.Get("x-cost-hint")),
		Deadline: c.f.came() + wait - margin,
		Message: &upstream.Request{
			Method: m.Method, Target: m.Target, ID: id, IdempotencyKey: m.Fields.Get("idempotency-key"),
			ContentType: m.Fields.Get("content-type"), Body: m.Body,
		},
	})
}

// class finds the class that a request names, and the method it takes; "" if there is none.
func (f *Downstream) class(name, method string) (class int, takes string) {
	for _, r := range f.routes[name] {
		if r.ExpiresAt > 0 && f.now() >= r.ExpiresAt {
			continue
		}
		class, takes = r.Class, http1.MethodPost
		if r.Idempotent {
			takes = http1.MethodGet
		}
		if takes == method {
			break
		}
	}
	return class, takes
}

// tenant is the place of a tenant among the settings', -1 for one that they do not name: it has no share
// to go beyond, and must not use up another's.
func (f *Downstream) tenant(name string) int {
	return slices.IndexFunc(f.tenants, func(t piernotch.Tenant) bool { return t.Name == name })
}

// named reads what a request must say of itself: one id, and how long its client
// waits; the class's own time stands in where that is missing and bounds the rest.
// What a feed server could not use, or could read in another way, is not passed on.
func named(m *http1.Message, most time.Duration) (id string, wait time.Duration, reason string) {
	ids, waits, keys := 0, 0, 0
	wait = most
	for _, f := range m.Fields {
		switch f.Name {
		case "x-request-id":
			ids++
			id = f.Value
		case "idempotency-key":
			keys++
		case "x-deadline-ms":
			waits++
			ms, err := strconv.ParseUint(f.Value, 10, 64)
			if errors.Is(err, strconv.ErrRange) {
				ms, err = math.MaxUint32, nil
			}
			if err != nil || ms == 0 {
				return "", 0, "X-Deadline-Ms is not a number of milliseconds"
			}
			wait = min(time.Duration(min(ms, math.MaxUint32))*time.Millisecond, most)
		}
	}
	switch {
	case ids != 1 || waits > 1 || keys > 1:
		return "", 0, "not one X-Request-Id, or more than one X-Deadline-Ms or Idempotency-Key"
	case id == "" || len(id) > maxID || strings.ContainsFunc(id, func(r rune) bool { return r <= ' ' || r > '~' }):
		return "", 0, "X-Request-Id is not a name"
	case m.Method == http1.MethodGet && len(m.Body) > 0:
		return "", 0, "GET takes no body"
	case m.Method != http1.MethodGet && !m.Sized:
		return "", 0, "no length"
	}
	return id, wait, ""
}

func (c *conn) health(m *http1.Message) {
	switch {
	case m.Method != http1.MethodGet:
		c.plain(http1.StatusMethodNotAllowed, "use GET", http1.Field{Name: "Allow", Value: http1.MethodGet})
	case !c.f.ready():
		c.plain(http1.StatusServiceUnavailable, "no list of feed servers yet, drained, or ending")
	default:
		c.plain(http1.StatusOK, "ok")
	}
}

// key turns a request's key into a number. Any key that names something will do,
// so one that is not hexadecimal is hashed; a silly one counts as none.
func key(text string) uint64 {
	if text == "" || len(text) > 256 {
		return 0
	}
	if n, err := strconv.ParseUint(text, 16, 64); err == nil {
		return n
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}

// hint reads an estimate of the work in microseconds and returns milliseconds,
// or NaN for none.
func hint(text string) float64 {
	us, err := strconv.ParseFloat(text, 64)
	if err != nil || !(us > 0) || math.IsInf(us, 0) {
		return math.NaN()
	}
	return us / 1000
}

// Respond writes the final answer of an exchange.
func (f *Downstream) Respond(r core.Respond) {
	c := f.waiting[r.Client]
	if c == nil {
		return
	}
	delete(f.waiting, r.Client)
	c.client = 0
	c.final = c.final || r.Close
	switch r.Result {
	case core.Served:
		a := r.Answer.(*upstream.Response)
		var fields http1.Fields
		if a.ContentType != "" {
			fields = append(fields, http1.Field{Name: "Content-Type", Value: a.ContentType})
		}
		c.answer(http1.StatusOK, fields, a.Body)
	case core.Rejected:
		var fields http1.Fields
		if r.RetryAfter > 0 {
			fields = append(fields, http1.Field{
				Name: "Retry-After", Value: strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64),
			})
		}
		c.answer(http1.StatusServiceUnavailable, fields, []byte("refused: trying again is harmless\n"))
	case core.DuplicateID:
		c.answer(http1.StatusConflict, nil, []byte("another open request has this X-Request-Id\n"))
	default:
		status := http1.StatusBadGateway
		if r.LastStatus == piernotch.Timeout {
			status = http1.StatusGatewayTimeout
		}
		c.answer(status, nil, []byte("failed: the request may have run\n"))
	}
}

func (c *conn) plain(status int, text string, fields ...http1.Field) {
	c.answer(status, append(fields, http1.Field{Name: "Content-Type", Value: "text/plain"}), []byte(text+"\n"))
}

func (c *conn) answer(status int, fields http1.Fields, body []byte) {
	if c.final {
		fields = append(fields, http1.Field{Name: "Connection", Value: "close"})
	}
	c.since = c.f.now()
	if c.sock.Write(http1.AppendResponse(nil, status, fields, body)) != nil {
		return // reported as a close
	}
	if c.final {
		c.end()
	}
}

// end has nothing more served on the connection: what comes from now on is not read as a request.
func (c *conn) end() {
	c.dying = true
	c.sock.DiscardInput()
	c.finish()
}

// finish ends the sending side if all has been written; Tick tries again. The client's end closes.
func (c *conn) finish() {
	if !c.shut && c.sock.UnsentBytes() == 0 {
		c.shut, c.since = true, c.f.now()
		c.sock.CloseWrite()
	}
}

// Closed takes the end of a client's connection.
func (c *conn) Closed(error) {
	delete(c.f.conns, c)
	c.gone()
}

func (c *conn) gone() {
	if c.client != 0 {
		delete(c.f.waiting, c.client)
		c.f.emit(core.ClientGone{Client: c.client})
		c.client = 0
	}
}

func (c *conn) drop() {
	c.sock.Close()
	delete(c.f.conns, c)
	c.gone()
}

// idle tells whether nothing is under way on the connection.
func (c *conn) idle() bool {
	return c.client == 0 && !c.dying && c.parser.Idle() && c.sock.UnsentBytes() == 0
}

// Shed closes connections because descriptors are short.
func (f *Downstream) Shed() {
	now := f.now()
	var out [3][]*conn
	for c := range f.conns {
		age := now - c.since
		switch {
		case c.shut && age >= spareShut:
			out[0] = append(out[0], c)
		case c.dying || c.client != 0 || c.sock.UnsentBytes() > 0: // an answer is owed
		case !c.asked && age >= spareSilent && c.sock.InputEmpty():
			out[0] = append(out[0], c)
		case !c.parser.Idle() && age >= spareHalf:
			out[1] = append(out[1], c)
		case c.asked && c.parser.Idle() && age >= spareIdle && c.sock.InputEmpty():
			out[2] = append(out[2], c)
		}
	}
	left := giveWay
	for _, cs := range out {
		slices.SortFunc(cs, func(a, b *conn) int { return cmp.Compare(a.since, b.since) })
		for _, c := range cs[:min(left, len(cs))] {
			c.drop()
			left--
		}
	}
}

// CloseIdle ends all idle connections, but for those on which a request has just come, or is to
// be expected.
func (f *Downstream) CloseIdle() {
	for c := range f.conns {
		if c.idle() && (c.asked || f.now()-c.since > spareNew) && c.sock.InputEmpty() {
			c.end()
		}
	}
}

// Shutdown has every further answer end its connection.
func (f *Downstream) Shutdown() { f.ending = true }

// Tick ends connections that are done, silent or idle for too long, or too slow to
// send their request or to read their answer.
func (f *Downstream) Tick() {
	now, keep := f.now(), keep
	if len(f.conns) > f.crowd {
		keep = keepCrowded
	}
	if f.drained > 0 && now-f.drained > leaveFor {
		f.CloseIdle()
	}
	for c := range f.conns {
		age := now - c.since
		switch {
		case c.shut:
			if age > lingerFor {
				c.drop()
			}
		case c.client != 0: // the core sees to it
		case c.dying || c.sock.UnsentBytes() > 0:
			if age > writeFor {
				c.drop()
			} else if c.dying {
				c.finish()
			}
		case !c.asked:
			if age > silentFor && c.sock.InputEmpty() {
				c.end()
			}
		case !c.parser.Idle():
			if age > readFor {
				c.bad(http1.StatusRequestTimeout, "the request did not come to its end")
			}
		case age > keep && c.sock.InputEmpty():
			c.end()
		}
	}
}
