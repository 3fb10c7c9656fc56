package emulator

import (
	"errors"
	"net"
	"time"

	"piernotch/internal/http1"
)

// acceptRetryPause is how long a server waits after it could not accept a connection: descriptors may come
// free.
const acceptRetryPause = time.Millisecond

// accept accepts the connections of one process.
func (s *server) accept(l net.Listener, incarnation int) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryPause)
			continue
		}
		if !s.addConnection(c, incarnation) {
			reset(c)
			continue
		}
		go s.serve(c) // ends with the connection
	}
}

// addConnection counts a new connection. It reports false if there are too many, or the process has ended.
func (s *server) addConnection(c net.Conn, incarnation int) bool {
	cost := &s.spec.Kind.Conn
	s.mu.Lock()
	defer s.mu.Unlock()
	full := cost.MaxConnections > 0 && len(s.connections) >= cost.MaxConnections
	if full || s.incarnation != incarnation {
		return false
	}
	s.connections[c] = struct{}{}
	s.model.Charge(s.fleet.clock(), cost.Handshake)
	s.model.SetConnections(s.fleet.clock(), len(s.connections))
	s.resetTimer()
	return true
}

// closeConnection closes a connection, unless the process has ended meanwhile.
func (s *server) closeConnection(c net.Conn) {
	s.mu.Lock()
	if _, ok := s.connections[c]; ok {
		delete(s.connections, c)
		s.model.SetConnections(s.fleet.clock(), len(s.connections))
	}
	s.mu.Unlock()
	_ = c.Close()
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// serve answers one connection until it ends or was idle for too long.
func (s *server) serve(c net.Conn) {
	defer s.closeConnection(c)
	messages := make(chan *http1.Message)
	gone := make(chan struct{})
	stop := make(chan struct{})
	defer close(stop)
	go func() { // ends with the connection or with stop; meanwhile it notices when the other side is gone
		defer close(gone)
		readMessages(c, messages, stop)
	}()
	keepAlive := s.fleet.realization.Rules.KeepAlive
	idle := time.NewTimer(keepAlive)
	defer idle.Stop()
	for {
		select {
		case m := <-messages:
			if !s.answer(exchange{conn: c, request: m, gone: gone}) {
				return
			}
			idle.Reset(keepAlive)
		case <-gone:
			return
		case <-idle.C:
			return
		}
	}
}

// readMessages reads requests until the connection ends, a request is malformed, or stop is closed.
func readMessages(c net.Conn, messages chan<- *http1.Message, stop <-chan struct{}) {
	parser := http1.NewRequestParser()
	buf := make([]byte, 8<<10)
	for {
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		parser.Feed(buf[:n])
		for {
			m, err := parser.Next()
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
}
