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

// serverStream keeps the random numbers of a stand-in server apart from those of its model, which has the
// same seed.
const serverStream = 7

// server is one stand-in server. Over time it is played by one process after the other; the model and
// the address stay the same.
type server struct {
	fleet  *Fleet
	number int
	name   string
	spec   scenario.Server

	mu          sync.Mutex // guards what follows
	model       *servermodel.Server
	timer       *time.Timer            // runs when the model has something to do
	jobs        map[uint64]*pendingJob // that the model has
	lastJob     uint64                 // the number of the last one
	slowdown    float64                // 1: none
	overloaded  bool                   // it has been at some time
	address     string                 // "": it was never open
	listener    net.Listener           // nil: it is down
	connections map[net.Conn]struct{}
	incarnation int // changes when a process starts or ends
	rng         *rand.Rand
}

// pendingJob is one request that the model has.
type pendingJob struct {
	id        uint64
	completed chan servermodel.Completion // has room for it
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

// open listens at the former address, if there is one.
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

// currentAddress returns the address at which the server listens or has listened.
func (s *server) currentAddress() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// startedAt returns the time of the run at which the present process started.
func (s *server) startedAt() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.model.Started()
}

// withModel calls f with the lock held.
func (s *server) withModel(f func(m *servermodel.Server, now time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.model, s.fleet.clock())
	s.resetTimer()
}

// resetTimer sets the timer to when the model has something to do next. The lock is held.
func (s *server) resetTimer() {
	next := s.model.Next()
	if next == servermodel.Never {
		s.timer.Stop()
		return
	}
	s.timer.Reset(max(next-s.fleet.clock(), 0))
}

// advance has the model do what is due. It is called by the timer.
func (s *server) advance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.model.Advance(s.fleet.clock()))
	s.overloaded = s.overloaded || s.model.Overloaded()
	s.resetTimer()
}

// deliver passes on which jobs the model has completed. The lock is held.
func (s *server) deliver(completions []servermodel.Completion) {
	for _, c := range completions {
		if job := s.jobs[c.ID]; job != nil {
			delete(s.jobs, c.ID)
			job.completed <- c
		}
	}
}

// closeAll closes the process's sockets. The lock is held.
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

// silence stops all responses; connections stay open and carry nothing.
func (s *server) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.model.Vanish(s.fleet.clock()) {
		delete(s.jobs, c.ID)
	}
	s.resetTimer()
}

// start starts a new process, in slow start. A server that has collapsed stays down.
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
