// Package admin holds the operators' address: HTTP/1.1 with one call a connection, answered
// with 2xx for yes and with 4xx or 5xx and one plain sentence for no. Its connections are few
// and apart from the clients', so that neither can take the other's.
package admin

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"piernotch/internal/http1"
	"piernotch/internal/serve/eventloop"
	"piernotch/internal/serve/overrides"
)

const (
	// MaxConnections is how many may be open at a time; the longest silent gives way to a new one.
	MaxConnections = 16
	// ReservedDescriptors is what the address takes of the process's limit: its connections, each of
	// which has a second one for a moment, and the listener.
	ReservedDescriptors = MaxConnections + 4
	// callFor is how long a caller may take over its call. Some take seconds by mistake, and
	// are no harm while there is room.
	callFor = 5 * time.Second
	// leaveFor is how long a caller may take to read its answer and leave.
	leaveFor = time.Second
	maxName  = 256
)

var verbs = map[string]overrides.Action{
	"/api/exclude": overrides.Exclude, "/api/include": overrides.Include,
	"/api/evacuate": overrides.Evacuate, "/api/rejoin": overrides.Rejoin,
}

// Server answers operators. It must be used from the goroutine that owns the sockets.
type Server struct {
	// Execute carries out a call; Said has to follow, at once or later.
	Execute func(call uint64, verb overrides.Action, server string)
	// Ready tells whether this process can serve.
	Ready func() bool
	// Now is a clock that does not jump.
	Now func() time.Duration

	conns   map[*conn]struct{}
	waiting map[uint64]*conn
	last    uint64
}

type conn struct {
	s      *Server
	sock   *eventloop.Conn
	parser *http1.Parser
	what   string // the call, for the log
	since  time.Duration
	call   uint64 // waits for Said; 0: it does not
	done   bool   // answered
	shut   bool   // the sending side has ended
}

// Accepted takes in a new connection.
func (s *Server) Accepted(c *eventloop.Conn) eventloop.Handler {
	if s.conns == nil {
		s.conns, s.waiting = map[*conn]struct{}{}, map[uint64]*conn{}
	}
	k := &conn{s: s, sock: c, parser: http1.NewRequestParser(), since: s.Now()}
	s.conns[k] = struct{}{}
	return k
}

// Shed closes the connection that has said nothing of use for longest, answered ones first.
func (s *Server) Shed() {
	var out *conn
	for c := range s.conns {
		if out == nil || c.done && !out.done || c.done == out.done && c.since < out.since {
			out = c
		}
	}
	if out != nil {
		out.drop()
	}
}

// Tick ends connections whose time is over.
func (s *Server) Tick() {
	now := s.Now()
	for c := range s.conns {
		switch {
		case c.done:
			c.leave(now)
		case c.call == 0 && now-c.since > callFor:
			c.answer(http1.StatusRequestTimeout, "the call did not come to its end")
		}
	}
}

// Complete takes the answer to a call.
func (s *Server) Complete(call uint64, err error) {
	c := s.waiting[call]
	if c == nil {
		return
	}
	delete(s.waiting, call)
	switch {
	case err == nil:
		c.answer(http1.StatusOK, "yes")
	case errors.Is(err, overrides.ErrUnknownServer):
		c.answer(http1.StatusNotFound, err.Error())
	case errors.Is(err, overrides.ErrTooManyExcluded):
		c.answer(http1.StatusConflict, err.Error())
	default:
		c.answer(http1.StatusServiceUnavailable, err.Error())
	}
}

// Data takes bytes from a caller.
func (c *conn) Data(data []byte) {
	if c.done || c.call != 0 {
		return // one call a connection: what follows it is not read
	}
	c.parser.Feed(data)
	m, err := c.parser.Next()
	var e *http1.Error
	switch {
	case errors.As(err, &e):
		c.answer(e.Status, e.Reason)
	case err != nil:
		c.answer(http1.StatusBadRequest, err.Error())
	case m != nil:
		c.serve(m)
	case c.parser.ExpectsContinue():
		_ = c.sock.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

func (c *conn) serve(m *http1.Message) {
	path := m.Path()
	c.what = path
	verb, known := verbs[path]
	method := http1.MethodPost
	if path == "/api/ready" {
		known, method = true, http1.MethodGet
	}
	switch {
	case !known:
		c.answer(http1.StatusNotFound, "no such call")
		return
	case m.Method != method:
		c.answer(http1.StatusMethodNotAllowed, "use "+method, http1.Field{Name: "Allow", Value: method})
		return
	case path == "/api/ready" && c.s.Ready():
		c.answer(http1.StatusOK, "yes")
		return
	case path == "/api/ready":
		c.answer(http1.StatusServiceUnavailable, "no list of feed servers yet, or ending")
		return
	}
	server := ""
	if verb == overrides.Exclude || verb == overrides.Include {
		var err error
		if server, err = name(m.Body); err != nil {
			c.answer(http1.StatusBadRequest, err.Error())
			return
		}
		c.what += " " + server
	}
	c.s.last++
	c.call = c.s.last
	c.s.waiting[c.call] = c
	c.s.Execute(c.call, verb, server)
}

// name reads {"name":"ID"}.
func name(body []byte) (string, error) {
	var in struct {
		Name *string `json:"name"`
	}
	switch err := json.Unmarshal(body, &in); {
	case err != nil:
		return "", fmt.Errorf("the body is not JSON of the form {\"name\":\"ID\"}: %w", err)
	case in.Name == nil || *in.Name == "":
		return "", errors.New("name is missing")
	case len(*in.Name) > maxName:
		return "", fmt.Errorf("name is longer than %d bytes", maxName)
	}
	return *in.Name, nil
}

func (c *conn) answer(status int, text string, more ...http1.Field) {
	slog.Info("admin response", "action", c.what, "status", status, "text", text)
	c.done, c.since = true, c.s.Now()
	c.sock.DiscardInput() // what still comes must not reset the answer away
	fields := append(more, http1.Field{Name: "Content-Type", Value: "text/plain"}, http1.Field{Name: "Connection", Value: "close"})
	if c.sock.Write(http1.AppendResponse(nil, status, fields, []byte(text+"\n"))) == nil {
		c.leave(c.since)
	}
}

// leave ends a connection whose answer is written, once the caller has left or had its time.
func (c *conn) leave(now time.Duration) {
	if !c.shut && c.sock.UnsentBytes() == 0 {
		c.shut = true
		c.sock.CloseWrite()
	}
	if now-c.since > leaveFor {
		c.drop()
	}
}

// Closed takes the end of a caller's connection.
func (c *conn) Closed(error) { c.forget() }

func (c *conn) drop() {
	c.sock.Close()
	c.forget()
}

func (c *conn) forget() {
	delete(c.s.conns, c)
	delete(c.s.waiting, c.call)
}
