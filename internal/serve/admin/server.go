// Package admin serves the operators' HTTP/1.1 API: one call for each connection. The response has a
// 2xx status if the call was carried out, and otherwise a 4xx or 5xx status and a sentence that says
// why.
//
// Its connections are few and counted apart from the clients', so that neither can exhaust the
// other's. The package translates calls into an [overrides.Action] and results into responses. It
// neither knows nor changes the state of the balancer: internal/serve/runtime, the only caller,
// connects it to the event loop and to the core by the functions in [Server]. Everything runs on
// the event loop's goroutine; the package starts none.
package admin

import (
	"errors"
	"time"

	"piernotch/internal/http1"
	"piernotch/internal/serve/eventloop"
	"piernotch/internal/serve/overrides"
)

const (
	// MaxConnections is the number of connections that may be open at a time. Beyond it the longest
	// idle one is closed for a new one.
	MaxConnections = 16
	// ReservedDescriptors is how many file descriptors the API takes of the process's limit: one for
	// each connection, the listener, and a few for the second one that a connection has for a moment.
	ReservedDescriptors = MaxConnections + 4

	// requestTimeout is how long a caller may take to send its call. It is generous, since a slow
	// caller does no harm while there is room.
	requestTimeout = 5 * time.Second
	// lingerTimeout is how long a caller may take to read its response and disconnect.
	lingerTimeout = time.Second
)

// Server responds to operators' calls. Its fields must be set before the first connection is accepted.
// It must be used from the event loop's goroutine and not be copied while in use.
type Server struct {
	// Execute carries out an action. Complete must follow with the same call, at once or later. server
	// is the name of a server, or empty if the action concerns none.
	Execute func(call overrides.CallID, action overrides.Action, server string)
	// Ready reports whether this process can serve clients.
	Ready func() bool
	// Now is a monotonic clock.
	Now func() time.Duration

	connections map[*connection]struct{}
	executing   map[overrides.CallID]*connection
	lastCall    overrides.CallID
}

// Accepted takes over a connection that the listener has accepted.
func (s *Server) Accepted(conn *eventloop.Conn) eventloop.Handler {
	if s.connections == nil {
		s.connections = map[*connection]struct{}{}
		s.executing = map[overrides.CallID]*connection{}
	}
	accepted := &connection{server: s, conn: conn, parser: http1.NewRequestParser(), since: s.Now()}
	s.connections[accepted] = struct{}{}
	return accepted
}

// Shed closes one connection: the one that has waited longest, those that had their response first.
func (s *Server) Shed() {
	var victim *connection
	for candidate := range s.connections {
		if victim == nil || candidate.shedBefore(victim) {
			victim = candidate
		}
	}
	if victim != nil {
		victim.close()
	}
}

// Tick enforces the timeouts. It must be called regularly.
func (s *Server) Tick() {
	now := s.Now()
	for c := range s.connections {
		c.checkTimeouts(now)
	}
}

// Complete reports the result of a call that Execute has been given; err is nil if it was carried
// out. If the caller is gone, nothing happens.
func (s *Server) Complete(call overrides.CallID, err error) {
	caller := s.executing[call]
	if caller == nil {
		return
	}
	delete(s.executing, call)
	if err != nil {
		caller.respond(statusOf(err), err.Error())
		return
	}
	caller.respond(http1.StatusOK, "yes")
}

// execute has an action carried out for a connection.
func (s *Server) execute(c *connection, action overrides.Action, server string) {
	s.lastCall++
	c.call = s.lastCall
	s.executing[c.call] = c
	s.Execute(c.call, action, server)
}

// remove forgets a connection and the call that it waits for.
func (s *Server) remove(c *connection) {
	delete(s.connections, c)
	delete(s.executing, c.call)
}

// statusOf returns the HTTP status of a call that was not carried out.
func statusOf(err error) int {
	switch {
	case errors.Is(err, overrides.ErrUnknownServer):
		return http1.StatusNotFound
	case errors.Is(err, overrides.ErrTooManyExcluded):
		return http1.StatusConflict
	default:
		return http1.StatusServiceUnavailable
	}
}
