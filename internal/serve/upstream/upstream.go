// Package upstream holds the connections to feed servers: a pool for each
// address, and the attempts and probes that are under way on them.
package upstream

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strconv"
	"time"

	"piernotch"
	"piernotch/internal/http1"
	"piernotch/internal/serve/core"
	"piernotch/internal/serve/eventloop"
)

const (
	// restFor is how long a connection rests after an answer. More than belongs to
	// the answer may come right behind it, and must not be read as the next one's.
	restFor = 2 * core.TickInterval
	// stallFor is how long an answer that has begun may stop. Servers write answers
	// whole, so what stops ends never, and its request has nothing to wait for.
	stallFor = 250 * time.Millisecond
)

// maxDials is how many connections to one feed server may be coming up at once.
// Opening costs the feed server, so a burst waits for connections in use.
const maxDials = 8

// Stage is how far an attempt had come when it failed.
type Stage uint8

// Stages.
const (
	Connecting       Stage = iota // nothing of the request was written
	Writing                       // its last byte had not been written: it cannot have run
	AwaitingResponse              // the request was written, no answer had begun
	ReadingResponse               // an answer had begun
	Malformed                     // an answer came that cannot be read, or stopped half-way
)

var stageNames = [...]string{"connecting", "writing", "awaiting_response", "reading_response", "malformed"}

func (s Stage) String() string { return stageNames[s] }

// AttemptError is the end of an attempt that brought no answer. Its stage decides
// whether the request may have run.
type AttemptError struct {
	Stage   Stage
	Address string
	IdleFor time.Duration // how long its connection had been idle before
	Err     error
}

func (f *AttemptError) Error() string {
	return fmt.Sprintf("%s while %s: %v", f.Address, f.Stage, f.Err)
}

func (f *AttemptError) Unwrap() error { return f.Err }

// Status is what the module is told of the failure.
func (f *AttemptError) Status() piernotch.Status {
	switch {
	case f.Stage < AwaitingResponse:
		return piernotch.ConnectFailed
	case f.Stage == Malformed: // the connection stands: the server has not restarted
		return piernotch.Error
	}
	return piernotch.Reset
}

// Response is a feed server's 200 answer.
type Response struct {
	ContentType string
	Body        []byte
}

// Request is the message of an attempt.
type Request struct {
	Method, Target, ID string
	IdempotencyKey     string // by which servers know a repeat; "": none
	ContentType        string
	Body               []byte
}

// errand is an attempt or a probe on its way.
type errand struct {
	ref     core.AttemptRef
	probe   bool
	pool    *pool
	message *Request
	until   time.Duration
	conn    *conn
	waiting bool // in its pool's queue
}

// conn is one connection to a feed server.
type conn struct {
	pool   *pool
	sock   *eventloop.Conn
	parser *http1.Parser
	errand *errand
	since  time.Duration // idle, or heard from, since
	kept   time.Duration // how long it had been idle when it got its errand
	wrote  bool          // the errand's bytes were handed to the socket
	heard  bool          // an answer has begun
}

type pool struct {
	u       *Upstream
	to      core.Endpoint
	idle    []*conn // newest last
	resting []*conn // oldest first; not to be used yet
	queue   []*errand
	dials   int
	barred  bool // its server drains or is gone: connections are not kept
}

// Upstream holds all pools.
type Upstream struct {
	engine            *eventloop.Loop
	emit              func(core.Event)
	now               func() time.Duration
	keep              time.Duration
	dialFor           time.Duration
	pools             map[core.Endpoint]*pool
	errands           map[core.AttemptRef]*errand
	probes            map[*errand]struct{}
	ConnectionsOpened int           // connections opened so far, for the log
	saidBad           time.Duration // when a load report was last called bad; 0: never
}

// New returns empty pools. Idle connections are closed well before keepAlive,
// when the feed server closes them: a request that crosses such a close is lost.
func New(engine *eventloop.Loop, emit func(core.Event), now func() time.Duration, keepAlive, dialFor time.Duration) *Upstream {
	u := &Upstream{
		engine: engine, emit: emit, now: now,
		pools: map[core.Endpoint]*pool{}, errands: map[core.AttemptRef]*errand{}, probes: map[*errand]struct{}{},
	}
	u.SetTimeouts(keepAlive, dialFor)
	return u
}

// SetTimeouts sets how long a feed server keeps an idle connection, and how long one may take to come up.
func (u *Upstream) SetTimeouts(keepAlive, dialFor time.Duration) {
	u.keep, u.dialFor = keepAlive*3/4, dialFor
}

func (u *Upstream) pool(to core.Endpoint) *pool {
	p := u.pools[to]
	if p == nil {
		p = &pool{u: u, to: to}
		u.pools[to] = p
	}
	return p
}

// StartAttempt finds a connection for an attempt; the core hears Connected or Ended.
func (u *Upstream) StartAttempt(e core.StartAttempt, message *Request) {
	x := &errand{ref: e.Ref, pool: u.pool(e.To), message: message, until: u.now() + e.Timeout}
	u.errands[e.Ref] = x
	x.pool.take(x)
}

// HealthCheck asks a feed server whether it serves.
func (u *Upstream) HealthCheck(e core.HealthCheck) {
	x := &errand{
		probe: true, pool: u.pool(e.To), until: u.now() + core.ProbeTimeout,
		message: &Request{Method: http1.MethodGet, Target: "/ping"},
	}
	u.probes[x] = struct{}{}
	x.pool.take(x)
}

// take gives the errand the newest idle connection, or has one opened.
func (p *pool) take(x *errand) {
	p.barred = false
	for n := len(p.idle); n > 0; n = len(p.idle) {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		if c.sock.InputEmpty() {
			p.assign(c, x)
			return
		}
		c.sock.Close() // something came that nobody asked for, or the end
	}
	x.waiting = true
	p.queue = append(p.queue, x)
	p.dial()
}

// dial opens connections for what waits, no more than that and not all at once.
func (p *pool) dial() {
	for p.dials < maxDials && p.dials+len(p.resting) < len(p.queue) {
		p.dials++
		p.u.ConnectionsOpened++
		c := &conn{pool: p, parser: http1.NewResponseParser(http1.MaxBody)}
		p.u.engine.Dial(p.to.Address, p.u.dialFor, func(s *eventloop.Conn) eventloop.Handler {
			c.sock = s
			return c
		}, func(_ *eventloop.Conn, err error) {
			p.dials--
			if err != nil {
				p.failed(err)
				return
			}
			c.since = p.u.now()
			p.release(c)
		})
	}
}

// failed ends the errand that has waited longest: the failed dial was its own.
func (p *pool) failed(err error) {
	if x := p.next(); x != nil {
		p.u.fail(x, &AttemptError{Stage: Connecting, Address: p.to.Address, Err: err})
	}
	p.dial()
}

// next takes the errand that has waited longest.
func (p *pool) next() *errand {
	if len(p.queue) == 0 {
		return nil
	}
	x := p.queue[0]
	p.queue = slices.Delete(p.queue, 0, 1)
	x.waiting = false
	return x
}

// release gives a free connection to what waits, or keeps it for later.
func (p *pool) release(c *conn) {
	if x := p.next(); x != nil {
		p.assign(c, x)
		return
	}
	if p.barred {
		c.sock.Close()
		return
	}
	c.since = p.u.now()
	p.idle = append(p.idle, c)
}

// rest keeps a connection that has just brought an answer from being used at once.
func (p *pool) rest(c *conn) {
	if p.barred {
		c.sock.Close()
		return
	}
	c.since = p.u.now()
	p.resting = append(p.resting, c)
}

// wake gives connections that have rested to what waits.
func (p *pool) wake(now time.Duration) {
	for len(p.resting) > 0 && now-p.resting[0].since >= restFor {
		c := p.resting[0]
		p.resting = slices.Delete(p.resting, 0, 1)
		if c.sock.InputEmpty() {
			p.release(c)
		} else {
			c.close()
		}
	}
}

func (p *pool) assign(c *conn, x *errand) {
	c.errand, c.wrote, c.heard = x, false, false
	c.kept = p.u.now() - c.since
	x.conn, x.waiting = c, false
	if x.probe {
		c.write(p.u.now())
		return
	}
	p.u.emit(core.AttemptConnected{Ref: x.ref})
}

// WriteAttempt sends an attempt's request on the connection that it was given.
func (u *Upstream) WriteAttempt(ref core.AttemptRef) {
	if x := u.errands[ref]; x != nil && x.conn != nil {
		x.conn.write(u.now())
	}
}

func (c *conn) write(now time.Duration) {
	m := c.errand.message
	fields := http1.Fields{{Name: "Host", Value: c.pool.to.Address}}
	if m.ID != "" {
		fields = append(fields, http1.Field{Name: "X-Request-Id", Value: m.ID})
	}
	if m.IdempotencyKey != "" {
		fields = append(fields, http1.Field{Name: "Idempotency-Key", Value: m.IdempotencyKey})
	}
	if m.ContentType != "" {
		fields = append(fields, http1.Field{Name: "Content-Type", Value: m.ContentType})
	}
	if left := (c.errand.until - now).Milliseconds(); left > 0 {
		fields = append(fields, http1.Field{Name: "X-Deadline-Ms", Value: strconv.FormatInt(left, 10)})
	}
	c.wrote = true
	// An error is reported as a close of the connection, which ends the errand.
	_ = c.sock.Write(http1.AppendRequest(nil, m.Method, m.Target, fields, m.Body))
}

// CancelAttempt ends the wait for an attempt. What it has written is called off by
// closing its connection, so that a late answer cannot reach another request.
func (u *Upstream) CancelAttempt(ref core.AttemptRef) {
	if x := u.errands[ref]; x != nil {
		u.abandon(x)
	}
}

func (u *Upstream) abandon(x *errand) {
	u.done(x)
	if x.waiting { // no connection is to be opened for it any more
		x.waiting = false
		p := x.pool
		p.queue = slices.DeleteFunc(p.queue, func(other *errand) bool { return other == x })
	}
	if c := x.conn; c != nil {
		c.errand = nil
		x.conn = nil
		if c.wrote || !c.sock.InputEmpty() {
			c.close()
		} else {
			c.pool.release(c)
		}
	}
}

// done forgets an errand, whose connection is the caller's to deal with.
func (u *Upstream) done(x *errand) {
	if x.probe {
		delete(u.probes, x)
	} else {
		delete(u.errands, x.ref)
	}
}

func (u *Upstream) fail(x *errand, f *AttemptError) {
	u.done(x)
	x.conn = nil
	slog.Info("attempt failed", "server", f.Address, "stage", f.Stage, "idle_ms", f.IdleFor.Milliseconds(), "health_check", x.probe, "err", f.Err)
	if x.probe {
		u.emit(core.HealthCheckCompleted{Backend: x.pool.to.Backend, Status: f.Status()})
		return
	}
	u.emit(core.AttemptCompleted{Ref: x.ref, Status: f.Status()})
}

// Data takes bytes from a feed server.
func (c *conn) Data(data []byte) {
	if c.errand == nil || !c.wrote { // nothing was asked
		c.lost(fmt.Errorf("%d bytes that nobody asked for", len(data)))
		return
	}
	c.heard, c.since = true, c.pool.u.now()
	c.parser.Feed(data)
	m, err := c.parser.Next()
	switch {
	case err != nil:
		c.fail(Malformed, err)
	case m != nil:
		c.answered(m)
	}
}

// Closed takes the end of the connection, which may complete an answer; what breaks may not: its
// answer was cut short.
func (c *conn) Closed(err error) {
	if errors.Is(err, io.EOF) && c.errand != nil && c.wrote && c.heard {
		if m := c.parser.End(); m != nil {
			c.answered(m)
			return
		}
	}
	if err == nil {
		err = fmt.Errorf("closed by the feed server")
	}
	c.lost(err)
}

// lost ends the connection and its errand without an answer.
func (c *conn) lost(err error) {
	stage := Connecting
	switch {
	case c.heard:
		stage = ReadingResponse
	case c.wrote && c.sock.UnsentBytes() == 0:
		stage = AwaitingResponse
	case c.wrote:
		stage = Writing
	}
	c.fail(stage, err)
}

func (c *conn) fail(stage Stage, err error) {
	x := c.errand
	c.errand = nil
	c.sock.Close()
	c.pool.remove(c)
	if x != nil {
		c.pool.u.fail(x, &AttemptError{stage, c.pool.to.Address, c.kept, err})
	}
}

// close ends a connection that was in use or about to be, and has one opened for what waited for it.
func (c *conn) close() {
	c.sock.Close()
	c.pool.dial()
}

func (p *pool) remove(c *conn) {
	same := func(other *conn) bool { return other == c }
	p.idle = slices.DeleteFunc(p.idle, same)
	p.resting = slices.DeleteFunc(p.resting, same)
	p.dial() // for what waited for it
}

// answered ends the errand with what the feed server said.
func (c *conn) answered(m *http1.Message) {
	x, u := c.errand, c.pool.u
	c.errand, x.conn = nil, nil
	u.done(x)
	// Bytes beyond the answer, or an answer before the request was whole, leave
	// the connection in no state to carry another.
	if m.Close || !c.parser.Idle() || c.sock.UnsentBytes() > 0 {
		c.close()
	} else {
		c.pool.rest(c)
	}
	status := piernotch.Error
	switch {
	case m.Status == http1.StatusOK:
		status = piernotch.OK
	case (m.Status == http1.StatusServiceUnavailable || m.Status == http1.StatusGatewayTimeout) &&
		m.Fields.Get("x-not-run") == "1":
		status = piernotch.Full
	}
	u.reported(c.pool.to, m.Fields.Get("x-load"))
	if x.probe {
		u.emit(core.HealthCheckCompleted{Backend: x.pool.to.Backend, Status: status})
		return
	}
	ended := core.AttemptCompleted{Ref: x.ref, Status: status}
	if status == piernotch.OK {
		ended.Answer = &Response{ContentType: m.Fields.Get("content-type"), Body: m.Body}
	} else {
		slog.Info("attempt unsuccessful", "server", c.pool.to.Address, "status", m.Status, "executed", status != piernotch.Full)
	}
	u.emit(ended)
}

// CloseIdle closes idle connections to a server and keeps no further ones.
func (u *Upstream) CloseIdle(to core.Endpoint) {
	if p := u.pools[to]; p != nil {
		p.barred = true
		p.shed(len(p.idle))
		for _, c := range p.resting {
			c.sock.Close()
		}
		p.resting = nil
		p.dial()
	}
}

// shed closes the n connections that have been idle longest.
func (p *pool) shed(n int) {
	for _, c := range p.idle[:n] {
		c.sock.Close()
	}
	p.idle = slices.Delete(p.idle, 0, n)
}

// Shed closes all idle connections, because descriptors are short.
func (u *Upstream) Shed() {
	for _, p := range u.pools {
		p.shed(len(p.idle))
	}
}

// Tick gives rested connections out, and closes those that have been idle for too
// long, those whose answer has stopped half-way, and probes that were not answered;
// attempts are timed by the core.
func (u *Upstream) Tick() {
	now := u.now()
	for x := range u.probes {
		if now > x.until { // the core knows; a silent server must not keep the connection
			u.abandon(x)
		}
	}
	for _, x := range u.errands {
		if c := x.conn; c != nil && c.heard && now-c.since > stallFor {
			c.fail(Malformed, errStalled)
		}
	}
	for to, p := range u.pools {
		p.wake(now)
		n := 0
		for n < len(p.idle) && now-p.idle[n].since > u.keep {
			n++
		}
		p.shed(n)
		if p.barred && len(p.idle)+len(p.resting)+len(p.queue)+p.dials == 0 {
			delete(u.pools, to)
		}
	}
}

var errStalled = errors.New("the answer has stopped half-way")
