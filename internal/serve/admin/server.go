// Package admin serves the operators' HTTP/1.1 API: one call for each connection. The response has a
// 2xx status if the call was carried out, and otherwise a 4xx or 5xx status and a sentence that says
// why.
//
// Its connections are few and counted separately from the clients', so that neither can use up the
// other's limit. The package translates calls into an [overrides.Action] and results into responses.
// It has no access to the state of the balancer: internal/serve/runtime, the only caller, connects it
// to the event loop and to the core by the functions in [Server]. Everything runs on the event loop's
// goroutine; the package starts none.
package admin

import (
	"errors"
	"time"

	"piernotch/internal/http1"
	"piernotch/internal/serve/eventloop"
	"piernotch/internal/serve/overrides"
)

const (
	// MaxConnections is the number of connections that may be open at a time. Server.Shed
	// closes one of them to make room for another.
	MaxConnections = 16
	// ReservedDescriptors is how many file descriptors of the process's limit are set aside for the API:
	// one for each connection, one for the listener, and a few since a connection briefly has two while
	// nbio takes it over.
	ReservedDescriptors = MaxConnections + 4

	// requestTimeout is how long a caller may take to send its call. It is long, since a slow caller
	// does no harm: its connection can be shed for a new one.
	requestTimeout = 5 * time.Second
	// lingerTimeout is how long a caller may take to read its response and disconnect.
	lingerTimeout = time.Second
)

// Server responds to operators' calls. Its fields must be set before the first connection is accepted.
// It must be used from the event loop's goroutine and not be copied while in use.
type Server struct {
	// Execute carries out an action. Complete must be called with the same call, during Execute or later.
	// server is the name of a server, or empty if the action concerns none.
	Execute func(call overrides.CallID, action overrides.Action, server string)
	// Ready reports whether this process can serve clients.
	Ready func() bool
	// Now returns the time on a monotonic clock.
	Now func() time.Duration

	connections map[*connection]struct{}
	executing   map[overrides.CallID]*connection
	lastCall    overrides.CallID
}

// Accepted returns the handler of a connection that the listener has accepted.
func (s *Server) Accepted(conn *eventloop.Conn) eventloop.Handler {
	if s.connections == nil {
		s.connections = map[*connection]struct{}{}
		s.executing = map[overrides.CallID]*connection{}
	}
	accepted := &connection{server: s, conn: conn, parser: http1.NewRequestParser(), since: s.Now()}
	s.connections[accepted] = struct{}{}
	return accepted
}

// Shed makes room for another connection: it closes the connection that has waited longest among those
// that have had their response, or among all if none has.
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

// Complete responds to a call that was passed to Execute; err is nil if the action was carried out. It
// does nothing if the call's connection has been closed.
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

// execute gives a connection's call an ID and passes its action to Execute.
func (s *Server) execute(c *connection, action overrides.Action, server string) {
	s.lastCall++
	c.call = s.lastCall
	s.executing[c.call] = c
	s.Execute(c.call, action, server)
}

// remove removes a connection and the call whose result it is waiting for.
func (s *Server) remove(c *connection) {
	delete(s.connections, c)
	delete(s.executing, c.call)
}

// statusOf returns the HTTP status for a call that was not carried out.
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
