package admin

import (
	"errors"
	"log/slog"
	"time"

	"piernotch/internal/http1"
	"piernotch/internal/serve/eventloop"
	"piernotch/internal/serve/overrides"
)

// connection is the connection of one caller. It implements eventloop.Handler.
type connection struct {
	server      *Server
	conn        *eventloop.Conn
	parser      *http1.Parser
	operation   string           // path and server of the call, for the log
	since       time.Duration    // when the connection was accepted or, if responded, when the response was sent
	call        overrides.CallID // the call passed to Server.Execute; 0: none so far
	responded   bool
	writeClosed bool
}

// Data implements eventloop.Handler.
func (c *connection) Data(data []byte) {
	if c.responded || c.call != 0 {
		return // a connection serves one call: further input is ignored
	}
	c.parser.Feed(data)
	request, err := c.parser.Next()
	var malformed *http1.Error
	switch {
	case errors.As(err, &malformed):
		c.respond(malformed.Status, malformed.Reason)
	case err != nil:
		c.respond(http1.StatusBadRequest, err.Error())
	case request != nil:
		c.serve(request)
	case c.parser.ExpectsContinue():
		_ = c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")) // an error also leads to a call of Closed
	}
}

// Closed implements eventloop.Handler.
func (c *connection) Closed(error) { c.server.remove(c) }

// checkTimeouts responds with an error if the call has not been received within requestTimeout, and
// continues closing a connection that has had its response. A call that is being executed has no timeout.
func (c *connection) checkTimeouts(now time.Duration) {
	switch {
	case c.responded:
		c.linger(now)
	case c.call == 0 && now-c.since > requestTimeout:
		c.respond(http1.StatusRequestTimeout, "the call did not come to its end")
	}
}

// respond logs and sends a response with one line of text, and starts closing the connection.
func (c *connection) respond(status int, text string, fields ...http1.Field) {
	slog.Info("admin response", "action", c.operation, "status", status, "text", text)
	c.responded = true
	c.since = c.server.Now()
	// If a socket is closed with unread input, the kernel resets the connection, and the response may be
	// lost.
	c.conn.DiscardInput()
	fields = append(
		fields,
		http1.Field{Name: "Content-Type", Value: "text/plain"},
		http1.Field{Name: "Connection", Value: "close"},
	)
	err := c.conn.Write(http1.AppendResponse(nil, status, fields, []byte(text+"\n")))
	if err == nil {
		c.linger(c.since)
	}
}

// linger closes the sending side once the response is written, and the whole connection after
// lingerTimeout if the caller has not closed it by then.
func (c *connection) linger(now time.Duration) {
	if !c.writeClosed && c.conn.UnsentBytes() == 0 {
		c.writeClosed = true
		c.conn.CloseWrite()
	}
	if now-c.since > lingerTimeout {
		c.close()
	}
}

// close closes the connection at once. The event loop does not call Closed afterwards.
func (c *connection) close() {
	c.conn.Close()
	c.server.remove(c)
}

// shedBefore reports whether Shed should close c rather than other.
func (c *connection) shedBefore(other *connection) bool {
	if c.responded != other.responded {
		return c.responded
	}
	return c.since < other.since
}
