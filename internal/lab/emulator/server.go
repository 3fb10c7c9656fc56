package emulator

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"piernotch/internal/lab/scenario"
	"piernotch/internal/lab/servermodel"
)

// serverStream selects the random stream of an emulated server. It must differ from the stream of the server's
// model, which has the same seed.
const serverStream = 7

// server is one emulated server. Its processes (incarnations) follow one another; the model stays the same,
// and so does the address.
type server struct {
	fleet  *Fleet
	number int
	name   string
	spec   scenario.Server

	mu          sync.Mutex // guards the fields below
	model       *servermodel.Server
	timer       *time.Timer            // fires when the model is due to advance
	jobs        map[uint64]*pendingJob // accepted by the model, by ID
	lastJob     uint64                 // ID of the last job
	slowdown    float64                // factor; 1: not slowed
	overloaded  bool                   // whether it was overloaded at any time
	address     string                 // "": never opened
	listener    net.Listener           // nil: closed
	connections map[net.Conn]struct{}
	incarnation int // incremented when a process starts or ends
	rng         *rand.Rand
}

// pendingJob is a request that the model has accepted and not completed.
type pendingJob struct {
	id        uint64
	completed chan servermodel.Completion // buffered: deliver must not block
}

func newServer(fleet *Fleet, number int, spec scenario.Server, seed uint64) (*server, error) {
	model, err := servermodel.New(spec.Kind, seed, 0)
	if err != nil {
		return nil, err
	}
	created := &server{
		fleet:       fleet,
		number:      number,
		name:        fmt.Sprintf("s-%d", number),
		spec:        spec,
		model:       model,
		jobs:        map[uint64]*pendingJob{},
		slowdown:    1,
		connections: map[net.Conn]struct{}{},
		rng:         rand.New(rand.NewPCG(seed, serverStream)),
	}
	created.timer = time.AfterFunc(time.Hour, created.advance)
	created.timer.Stop()
	return created, nil
}

// open starts to listen, at the previous address if there is one.
func (s *server) open() error {
	address := s.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("server %s: %w", s.name, err)
	}
	s.mu.Lock()
	s.listener = listener
	s.address = listener.Addr().String()
	s.incarnation++
	incarnation := s.incarnation
	s.mu.Unlock()
	go s.accept(listener, incarnation) // ends when the listener is closed
	return nil
}

// currentAddress returns the address at which the server listens or last listened; "" if it never did.
func (s *server) currentAddress() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// startedAt returns the time of the run at which the current process started.
func (s *server) startedAt() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.model.Started()
}

// withModel calls f with the lock held, then resets the timer.
func (s *server) withModel(f func(m *servermodel.Server, now time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.model, s.fleet.clock())
	s.resetTimer()
}

// resetTimer sets the timer to when the model is next due to advance. The caller holds the lock.
func (s *server) resetTimer() {
	next := s.model.Next()
	if next == servermodel.Never {
		s.timer.Stop()
		return
	}
	s.timer.Reset(max(next-s.fleet.clock(), 0))
}

// advance advances the model to the current time and delivers completed jobs. The timer calls it.
func (s *server) advance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.model.Advance(s.fleet.clock()))
	s.overloaded = s.overloaded || s.model.Overloaded()
	s.resetTimer()
}

// deliver passes completions on to the goroutines that wait for their jobs. The caller holds the lock.
func (s *server) deliver(completions []servermodel.Completion) {
	for _, c := range completions {
		if job := s.jobs[c.ID]; job != nil {
			delete(s.jobs, c.ID)
			job.completed <- c
		}
	}
}

// closeAll ends the incarnation and closes its sockets. The caller holds the lock.
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

// crash ends the process. Its jobs end as reset, and its address refuses connections.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.model.Crash(s.fleet.clock()))
	s.closeAll()
	s.resetTimer()
}

// silence stops all responses and drops the accepted jobs. Connections stay open, and new ones are accepted.
func (s *server) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.model.Vanish(s.fleet.clock()) {
		delete(s.jobs, c.ID)
	}
	s.resetTimer()
}

// start replaces the process by a new one, in slow start. A server that has collapsed stays down.
func (s *server) start() error {
	s.mu.Lock()
	if s.model.State() == servermodel.Collapsed {
		s.mu.Unlock()
		return nil
	}
	s.closeAll()
	s.deliver(s.model.Start(s.fleet.clock()))
	s.mu.Unlock()
	return s.open()
}
