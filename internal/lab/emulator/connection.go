package emulator

import (
	"errors"
	"net"
	"time"

	"piernotch/internal/http1"
)

// acceptRetryPause is how long a server waits after a failed accept: file descriptors may become free
// meanwhile.
const acceptRetryPause = time.Millisecond

const readBufferSize = 8 << 10 // bytes, per connection

// accept accepts the connections of one incarnation, and resets those that addConnection rejects.
func (s *server) accept(listener net.Listener, incarnation int) {
	for {
		connection, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryPause)
			continue
		}
		if !s.addConnection(connection, incarnation) {
			reset(connection)
			continue
		}
		go s.serve(connection) // ends with the connection
	}
}

// addConnection registers a connection and charges the model for the handshake. It reports false if MaxConnections
// are open already or the incarnation has ended.
func (s *server) addConnection(connection net.Conn, incarnation int) bool {
	cost := &s.spec.Kind.Conn
	s.mu.Lock()
	defer s.mu.Unlock()
	full := cost.MaxConnections > 0 && len(s.connections) >= cost.MaxConnections
	if full || s.incarnation != incarnation {
		return false
	}
	s.connections[connection] = struct{}{}
	s.model.Charge(s.fleet.clock(), cost.Handshake)
	s.model.SetConnections(s.fleet.clock(), len(s.connections))
	s.resetTimer()
	return true
}

// closeConnection closes a connection, and unregisters it if the process has not ended meanwhile.
func (s *server) closeConnection(connection net.Conn) {
	s.mu.Lock()
	if _, ok := s.connections[connection]; ok {
		delete(s.connections, connection)
		s.model.SetConnections(s.fleet.clock(), len(s.connections))
	}
	s.mu.Unlock()
	_ = connection.Close()
}

// reset closes a connection with a TCP reset.
func reset(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

// serve serves a connection until either side ends it, a request is malformed or KeepAlive passes without a
// request.
func (s *server) serve(connection net.Conn) {
	defer s.closeConnection(connection)
	messages := make(chan *http1.Message)
	gone := make(chan struct{})
	stop := make(chan struct{})
	defer close(stop)
	go func() { // ends with the connection or with stop; closes gone when reading has ended
		defer close(gone)
		readMessages(connection, messages, stop)
	}()
	keepAlive := s.fleet.realization.Rules.KeepAlive
	idle := time.NewTimer(keepAlive)
	defer idle.Stop()
	for {
		select {
		case message := <-messages:
			if !s.serveExchange(exchange{conn: connection, request: message, gone: gone}) {
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

// readMessages passes on requests until the connection ends, a request is malformed, or stop is closed.
func readMessages(connection net.Conn, messages chan<- *http1.Message, stop <-chan struct{}) {
	parser := http1.NewRequestParser()
	buffer := make([]byte, readBufferSize)
	for {
		count, err := connection.Read(buffer)
		if err != nil {
			return
		}
		parser.Feed(buffer[:count])
		for {
			message, err := parser.Next()
			if err != nil {
				return
			}
			if message == nil {
				break
			}
			select {
			case messages <- message:
			case <-stop:
				return
			}
		}
	}
}
