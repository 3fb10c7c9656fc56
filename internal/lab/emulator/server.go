// Package emulator puts the physics of internal/lab/servermodel behind sockets: stand-in feed
// servers and a stand-in roster on loopback, scripted by the same scenario files as the
// model. Work is waited for, not burnt, so that hundreds of servers fit on a core.
package emulator

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"piernotch/internal/http1"
	"piernotch/internal/lab/scenario"
	"piernotch/internal/lab/servermodel"
)

// Observer is told what servers and roster see. Its methods may be called from any
// goroutine, and must not call back.
type Observer interface {
	// Sent says that an attempt of a request has arrived whole, and gives it a number
	// among the request's; -1 for a request that nobody sent.
	Sent(id string, server int) int
	// Began says that the server took it in.
	Began(id string, attempt int)
	// Ran says that it has run, at least in part.
	Ran(id string, attempt int)
	// Over says that its connection is done with it; unrun: the answer proved that it
	// never ran.
	Over(id string, attempt int, unrun bool)
	// Reached says that work (ms) of a request arrived at a cold server.
	Reached(id string, server int, started time.Duration, work float64)
	// Fell says that a cold server was pushed over.
	Fell(server int)
}

// Clock is the time of the day that is played.
type Clock func() time.Duration

// server is one stand-in feed server.
type server struct {
	fleet  *Fleet
	number int
	name   string
	spec   scenario.Server

	mu      sync.Mutex
	phys    *servermodel.Server
	timer   *time.Timer
	calls   map[uint64]*call
	last    uint64
	slow    float64
	choked  bool
	address string
	listen  net.Listener
	conns   map[net.Conn]struct{}
	epoch   int // counts processes
	silent  bool
	luck    *rand.Rand
}

// call is one request that the server holds.
type call struct {
	job  uint64
	done chan servermodel.Completion
}

func newServer(f *Fleet, number int, spec scenario.Server, seed uint64) (*server, error) {
	phys, err := servermodel.New(spec.Kind, seed, 0)
	if err != nil {
		return nil, err
	}
	s := &server{
		fleet: f, number: number, name: fmt.Sprintf("s-%d", number), spec: spec, phys: phys, calls: map[uint64]*call{},
		slow: 1, conns: map[net.Conn]struct{}{}, luck: rand.New(rand.NewPCG(seed, 7)),
	}
	s.timer = time.AfterFunc(time.Hour, s.due)
	s.timer.Stop()
	return s, nil
}

// open begins to listen, at the address of before if there was one.
func (s *server) open() error {
	address := s.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("server %s: %w", s.name, err)
	}
	s.mu.Lock()
	s.listen, s.address, s.silent = l, l.Addr().String(), false
	s.epoch++
	epoch := s.epoch
	s.mu.Unlock()
	go s.accept(l, epoch)
	return nil
}

func (s *server) accept(l net.Listener, epoch int) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond) // descriptors may come free
			continue
		}
		s.mu.Lock()
		full := s.spec.Kind.Conn.Most > 0 && len(s.conns) >= s.spec.Kind.Conn.Most
		if full || s.epoch != epoch {
			s.mu.Unlock()
			reset(c)
			continue
		}
		s.conns[c] = struct{}{}
		s.phys.Charge(s.fleet.clock(), s.spec.Kind.Conn.Handshake)
		s.phys.SetTable(s.fleet.clock(), len(s.conns))
		s.arm()
		s.mu.Unlock()
		go s.serve(c)
	}
}

// reset closes a connection the hard way.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (s *server) forget(c net.Conn) {
	s.mu.Lock()
	if _, ok := s.conns[c]; ok {
		delete(s.conns, c)
		s.phys.SetTable(s.fleet.clock(), len(s.conns))
	}
	s.mu.Unlock()
	_ = c.Close()
}

// serve answers one connection. A reader beside it notices when the other side is gone.
func (s *server) serve(c net.Conn) {
	defer s.forget(c)
	messages := make(chan *http1.Message)
	gone := make(chan struct{})
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		defer close(gone)
		p := http1.NewRequestParser()
		buf := make([]byte, 8<<10)
		for {
			n, err := c.Read(buf)
			if err != nil {
				return
			}
			p.Feed(buf[:n])
			for {
				m, err := p.Next()
				if err != nil {
					return
				}
				if m == nil {
					break
				}
				select {
				case messages <- m:
				case <-stop:
					return
				}
			}
		}
	}()
	idle := time.NewTimer(s.fleet.day.Rules.KeepAlive)
	defer idle.Stop()
	for {
		select {
		case m := <-messages:
			if !s.answer(c, m, gone) {
				return
			}
			idle.Reset(s.fleet.day.Rules.KeepAlive)
		case <-gone:
			return
		case <-idle.C:
			return
		}
	}
}

// load is the X-Load header of an answer.
func (s *server) load(now time.Duration) http1.Fields {
	r, ok := s.phys.Report(now, s.fleet.reportsLate())
	if !ok {
		return nil
	}
	return http1.Fields{{Name: "X-Load", Value: fmt.Sprintf("eps=%.2f,qps=%.2f,inflight=%.1f", r.ErrorsPerSec, r.PerSec, r.Inflight)}}
}

func write(c net.Conn, status int, fields http1.Fields, body []byte) bool {
	_, err := c.Write(http1.AppendResponse(nil, status, fields, body))
	return err == nil
}

// answer serves one request; false ends the connection.
func (s *server) answer(c net.Conn, m *http1.Message, gone <-chan struct{}) bool {
	now := s.fleet.clock()
	if m.Path() == "/ping" || m.Path() == "/_load" {
		s.mu.Lock()
		s.phys.Charge(now, s.spec.Kind.ProbeWork)
		life, fields := s.phys.State(), s.load(now)
		s.arm()
		s.mu.Unlock()
		if life == servermodel.Silent {
			<-gone
			return false
		}
		status := 200
		if life != servermodel.Up {
			status = 503
		}
		var body []byte
		if len(fields) > 0 && m.Path() == "/_load" {
			body = []byte(fields[0].Value)
		}
		return write(c, status, fields, body) && !m.Close
	}
	id := m.Fields.Get("x-request-id")
	if id == "" {
		return write(c, 404, nil, nil)
	}
	n := s.fleet.watch.Sent(id, s.number)
	if n < 0 {
		return write(c, 400, nil, nil)
	}
	entry, cl := s.take(m, id, n, now)
	switch entry {
	case servermodel.Rejected:
		s.mu.Lock()
		fields := append(s.load(now), http1.Field{Name: "X-Not-Run", Value: "1"})
		s.mu.Unlock()
		s.fleet.watch.Over(id, n, true)
		return write(c, 503, fields, nil) && !m.Close
	case servermodel.Refused:
		s.fleet.watch.Over(id, n, false)
		reset(c)
		return false
	case servermodel.Unheard:
		<-gone
		s.fleet.watch.Over(id, n, false)
		return false
	}
	select {
	case d := <-cl.done:
		return s.finish(c, m, id, n, d, gone)
	case <-gone: // the balancer waits no longer
		s.mu.Lock()
		cancelled, begun, _ := s.phys.Cancel(s.fleet.clock(), cl.job)
		if cancelled {
			delete(s.calls, cl.job)
		}
		s.arm()
		s.mu.Unlock()
		if begun {
			s.fleet.watch.Ran(id, n)
		}
		s.fleet.watch.Over(id, n, false)
		return false
	}
}

// take brings a request to the physics.
func (s *server) take(m *http1.Message, id string, n int, now time.Duration) (servermodel.Admission, *call) {
	work, _ := strconv.ParseFloat(m.Query("w"), 64)
	if !(work > 0 && work < 1e9) { // whoever sent it did not say: what its class takes
		work = s.fleet.meanWork(strings.TrimPrefix(m.Path(), "/"))
	}
	key, _ := strconv.ParseUint(m.Query("k"), 16, 64)
	expires := time.Duration(0)
	if ms, err := strconv.Atoi(m.Fields.Get("x-deadline-ms")); err == nil {
		expires = now + time.Duration(ms)*time.Millisecond
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	cold := s.phys.Cold(now)
	if cold {
		s.fleet.watch.Reached(id, s.number, s.phys.Started(), work)
	}
	s.last++
	entry, lost := s.phys.Arrive(now, servermodel.Job{ID: s.last, Work: work, Key: key, Expires: expires, Luck: s.luck.Float64()})
	if cold && s.phys.State() == servermodel.Collapsed {
		s.fleet.watch.Fell(s.number)
		s.ended(lost)
		s.closeAll()
		return servermodel.Refused, nil
	}
	if entry != servermodel.Accepted {
		return entry, nil
	}
	cl := &call{job: s.last, done: make(chan servermodel.Completion, 1)}
	s.calls[s.last] = cl
	s.fleet.watch.Began(id, n)
	s.arm()
	return entry, cl
}

// finish sends the answer of a job that has ended.
func (s *server) finish(c net.Conn, m *http1.Message, id string, n int, d servermodel.Completion, gone <-chan struct{}) bool {
	if d.Started {
		s.fleet.watch.Ran(id, n)
	}
	s.mu.Lock()
	fields := s.load(s.fleet.clock())
	s.mu.Unlock()
	unrun := d.Ending == servermodel.Expired
	s.fleet.watch.Over(id, n, unrun)
	switch d.Ending {
	case servermodel.Reset:
		reset(c)
		return false
	case servermodel.Expired:
		return write(c, 504, append(fields, http1.Field{Name: "X-Not-Run", Value: "1"}), nil) && !m.Close
	case servermodel.Erred:
		return write(c, 500, fields, nil) && !m.Close
	}
	body := []byte(s.name + " " + id)
	s.mu.Lock()
	kind := -1
	if s.luck.Float64() < s.fleet.spoilt() {
		kind = s.luck.IntN(spoilKinds)
	}
	s.mu.Unlock()
	if kind >= 0 {
		return spoil(kind, c, fields, body, gone) && !m.Close
	}
	return write(c, 200, fields, body) && !m.Close
}

// arm sets the timer to when the physics must be looked at. The lock is held.
func (s *server) arm() {
	next := s.phys.Next()
	if next == servermodel.Never {
		s.timer.Stop()
		return
	}
	s.timer.Reset(max(next-s.fleet.clock(), 0))
}

func (s *server) due() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended(s.phys.Advance(s.fleet.clock()))
	s.choked = s.choked || s.phys.Choked()
	s.arm()
}

// ended hands out what the physics has ended. The lock is held.
func (s *server) ended(dones []servermodel.Completion) {
	for _, d := range dones {
		if cl := s.calls[d.ID]; cl != nil {
			delete(s.calls, d.ID)
			cl.done <- d
		}
	}
}

// closeAll ends the process's sockets. The lock is held.
func (s *server) closeAll() {
	if s.listen != nil {
		_ = s.listen.Close()
		s.listen = nil
	}
	s.epoch++
	for c := range s.conns {
		delete(s.conns, c)
		reset(c)
	}
}

// crash ends the process; its address refuses connections.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended(s.phys.Crash(s.fleet.clock()))
	s.closeAll()
	s.arm()
}

// vanish stops all answers; connections stay open and say nothing.
func (s *server) vanish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.phys.Vanish(s.fleet.clock()) {
		delete(s.calls, d.ID)
	}
	s.silent = true
	s.arm()
}

// start begins a new process, which is cold.
func (s *server) start() error {
	s.mu.Lock()
	if s.phys.State() == servermodel.Collapsed {
		s.mu.Unlock()
		return nil // it stays down
	}
	s.closeAll()
	s.ended(s.phys.Start(s.fleet.clock()))
	s.mu.Unlock()
	return s.open()
}

func (s *server) do(f func(p *servermodel.Server, now time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.phys, s.fleet.clock())
	s.arm()
}
