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
	// AttemptReceived says that an attempt of a request has arrived whole, and gives it a number
	// among the request's; -1 for a request that nobody sent.
	AttemptReceived(id string, server int) int
	// AttemptAccepted says that the server took it in.
	AttemptAccepted(id string, attempt int)
	// AttemptExecuted says that it has run, at least in part.
	AttemptExecuted(id string, attempt int)
	// AttemptCompleted says that its connection is done with it; unrun: the answer proved that it
	// never ran.
	AttemptCompleted(id string, attempt int, unrun bool)
	// SlowStartWork says that work (ms) of a request arrived at a cold server.
	SlowStartWork(id string, server int, started time.Duration, work float64)
	// ServerCollapsed says that a cold server was pushed over.
	ServerCollapsed(server int)
}

// Clock is the time of the day that is played.
type Clock func() time.Duration

// server is one stand-in feed server.
type server struct {
	fleet  *Fleet
	number int
	name   string
	spec   scenario.Server

	mu          sync.Mutex
	model       *servermodel.Server
	timer       *time.Timer
	calls       map[uint64]*call
	lastJob     uint64
	slow        float64
	overloaded  bool
	address     string
	listener    net.Listener
	connections map[net.Conn]struct{}
	incarnation int // counts processes
	silent      bool
	rng         *rand.Rand
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
		fleet: f, number: number, name: fmt.Sprintf("s-%d", number), spec: spec, model: phys, calls: map[uint64]*call{},
		slow: 1, connections: map[net.Conn]struct{}{}, rng: rand.New(rand.NewPCG(seed, 7)),
	}
	s.timer = time.AfterFunc(time.Hour, s.advance)
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
	s.listener, s.address, s.silent = l, l.Addr().String(), false
	s.incarnation++
	epoch := s.incarnation
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
		full := s.spec.Kind.Conn.Most > 0 && len(s.connections) >= s.spec.Kind.Conn.Most
		if full || s.incarnation != epoch {
			s.mu.Unlock()
			reset(c)
			continue
		}
		s.connections[c] = struct{}{}
		s.model.Charge(s.fleet.clock(), s.spec.Kind.Conn.Handshake)
		s.model.SetTable(s.fleet.clock(), len(s.connections))
		s.resetTimer()
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

func (s *server) closeConnection(c net.Conn) {
	s.mu.Lock()
	if _, ok := s.connections[c]; ok {
		delete(s.connections, c)
		s.model.SetTable(s.fleet.clock(), len(s.connections))
	}
	s.mu.Unlock()
	_ = c.Close()
}

// serve answers one connection. A reader beside it notices when the other side is gone.
func (s *server) serve(c net.Conn) {
	defer s.closeConnection(c)
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

// loadHeader is the X-Load header of an answer.
func (s *server) loadHeader(now time.Duration) http1.Fields {
	r, ok := s.model.Report(now, s.fleet.reportDelay())
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
		s.model.Charge(now, s.spec.Kind.ProbeWork)
		life, fields := s.model.State(), s.loadHeader(now)
		s.resetTimer()
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
	n := s.fleet.observer.AttemptReceived(id, s.number)
	if n < 0 {
		return write(c, 400, nil, nil)
	}
	entry, cl := s.admit(m, id, n, now)
	switch entry {
	case servermodel.Rejected:
		s.mu.Lock()
		fields := append(s.loadHeader(now), http1.Field{Name: "X-Not-Run", Value: "1"})
		s.mu.Unlock()
		s.fleet.observer.AttemptCompleted(id, n, true)
		return write(c, 503, fields, nil) && !m.Close
	case servermodel.Refused:
		s.fleet.observer.AttemptCompleted(id, n, false)
		reset(c)
		return false
	case servermodel.Unheard:
		<-gone
		s.fleet.observer.AttemptCompleted(id, n, false)
		return false
	}
	select {
	case d := <-cl.done:
		return s.respond(c, m, id, n, d, gone)
	case <-gone: // the balancer waits no longer
		s.mu.Lock()
		cancelled, begun, _ := s.model.Cancel(s.fleet.clock(), cl.job)
		if cancelled {
			delete(s.calls, cl.job)
		}
		s.resetTimer()
		s.mu.Unlock()
		if begun {
			s.fleet.observer.AttemptExecuted(id, n)
		}
		s.fleet.observer.AttemptCompleted(id, n, false)
		return false
	}
}

// admit brings a request to the physics.
func (s *server) admit(m *http1.Message, id string, n int, now time.Duration) (servermodel.Admission, *call) {
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
	cold := s.model.Cold(now)
	if cold {
		s.fleet.observer.SlowStartWork(id, s.number, s.model.Started(), work)
	}
	s.lastJob++
	entry, lost := s.model.Arrive(now, servermodel.Job{ID: s.lastJob, Work: work, Key: key, Expires: expires, Luck: s.rng.Float64()})
	if cold && s.model.State() == servermodel.Collapsed {
		s.fleet.observer.ServerCollapsed(s.number)
		s.deliver(lost)
		s.closeAll()
		return servermodel.Refused, nil
	}
	if entry != servermodel.Accepted {
		return entry, nil
	}
	cl := &call{job: s.lastJob, done: make(chan servermodel.Completion, 1)}
	s.calls[s.lastJob] = cl
	s.fleet.observer.AttemptAccepted(id, n)
	s.resetTimer()
	return entry, cl
}

// respond sends the answer of a job that has ended.
func (s *server) respond(c net.Conn, m *http1.Message, id string, n int, d servermodel.Completion, gone <-chan struct{}) bool {
	if d.Started {
		s.fleet.observer.AttemptExecuted(id, n)
	}
	s.mu.Lock()
	fields := s.loadHeader(s.fleet.clock())
	s.mu.Unlock()
	unrun := d.Ending == servermodel.Expired
	s.fleet.observer.AttemptCompleted(id, n, unrun)
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
	if s.rng.Float64() < s.fleet.malformedProbability() {
		kind = s.rng.IntN(malformedKinds)
	}
	s.mu.Unlock()
	if kind >= 0 {
		return writeMalformed(kind, c, fields, body, gone) && !m.Close
	}
	return write(c, 200, fields, body) && !m.Close
}

// resetTimer sets the timer to when the physics must be looked at. The lock is held.
func (s *server) resetTimer() {
	next := s.model.Next()
	if next == servermodel.Never {
		s.timer.Stop()
		return
	}
	s.timer.Reset(max(next-s.fleet.clock(), 0))
}

func (s *server) advance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.model.Advance(s.fleet.clock()))
	s.overloaded = s.overloaded || s.model.Choked()
	s.resetTimer()
}

// deliver hands out what the physics has ended. The lock is held.
func (s *server) deliver(dones []servermodel.Completion) {
	for _, d := range dones {
		if cl := s.calls[d.ID]; cl != nil {
			delete(s.calls, d.ID)
			cl.done <- d
		}
	}
}

// closeAll ends the process's sockets. The lock is held.
func (s *server) closeAll() {
	if s.listener != nil {
		_ = s.listener.Close()
		s.listener = nil
	}
	s.incarnation++
	for c := range s.connections {
		delete(s.connections, c)
		reset(c)
	}
}

// crash ends the process; its address refuses connections.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.model.Crash(s.fleet.clock()))
	s.closeAll()
	s.resetTimer()
}

// silence stops all answers; connections stay open and say nothing.
func (s *server) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.model.Vanish(s.fleet.clock()) {
		delete(s.calls, d.ID)
	}
	s.silent = true
	s.resetTimer()
}

// start begins a new process, which is cold.
func (s *server) start() error {
	s.mu.Lock()
	if s.model.State() == servermodel.Collapsed {
		s.mu.Unlock()
		return nil // it stays down
	}
	s.closeAll()
	s.deliver(s.model.Start(s.fleet.clock()))
	s.mu.Unlock()
	return s.open()
}

func (s *server) withModel(f func(p *servermodel.Server, now time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.model, s.fleet.clock())
	s.resetTimer()
}
