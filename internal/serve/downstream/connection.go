package downstream

import (
	"errors"
	"log/slog"
	"time"

	"piernotch/internal/http1"
	"piernotch/internal/serve/core"
	"piernotch/internal/serve/eventloop"
)

// connection is one client connection. It implements eventloop.Handler, whose
// methods run on the loop's owning goroutine.
type connection struct {
	downstream         *Downstream
	socket             *eventloop.Conn
	parser             *http1.Parser
	exchange           core.ExchangeID // of the request without a response; 0: none
	closeAfterResponse bool            // the response to the current request is the last one
	receivedData       bool            // the client has sent at least one byte
	closing            bool            // input is discarded; the sending side closes once all is written
	writeClosed        bool            // the sending side is closed; the client's side may still be open

	// phaseStart is when the current phase began: the close of the sending side,
	// else the current request's first byte, else the last response or the accept.
	phaseStart time.Duration
}

// Data implements eventloop.Handler: bytes from the client.
func (c *connection) Data(data []byte) {
	if c.closing {
		return
	}
	if c.exchange != 0 {
		// One request at a time: what comes before the response is either a body
		// longer than announced, or a request smuggled behind one.
		c.abandonExchange()
		c.rejectMalformed(http1.StatusBadRequest, reasonTrailingBytes)
		return
	}
	if c.parser.Idle() {
		c.phaseStart = c.downstream.now()
	}
	c.receivedData = true
	c.parser.Feed(data)
	c.serveParsed()
}

// Closed implements eventloop.Handler: the connection has ended.
func (c *connection) Closed(error) {
	delete(c.downstream.connections, c)
	c.abandonExchange()
}

// serveParsed serves the next complete request, if there is one.
func (c *connection) serveParsed() {
	for c.exchange == 0 && !c.closing {
		message, err := c.parser.Next()
		if err != nil {
			c.rejectMalformed(parseErrorStatus(err), err.Error())
			return
		}
		if message == nil {
			if c.parser.ExpectsContinue() {
				_ = c.socket.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
			}
			return
		}
		if !c.parser.Idle() {
			c.rejectMalformed(http1.StatusBadRequest, reasonTrailingBytes)
			return
		}
		c.closeAfterResponse = message.Close || c.downstream.closesAfterResponse()
		c.serve(message)
	}
}

// parseErrorStatus returns the HTTP status for an error of the parser.
func parseErrorStatus(err error) int {
	var parseError *http1.Error
	if errors.As(err, &parseError) {
		return parseError.Status
	}
	return http1.StatusBadRequest
}

// rejectMalformed responds to what cannot be parsed. Nothing behind it can be
// parsed either, so the connection ends.
func (c *connection) rejectMalformed(status int, reason string) {
	slog.Info("bad request", "status", status, "err", reason)
	c.closeAfterResponse = true
	c.respondText(status, reason)
}

// serve responds to a request, or passes it to the core.
func (c *connection) serve(message *http1.Message) {
	if message.Path() == healthPath {
		c.serveHealth(message)
		return
	}
	downstream := c.downstream
	request, invalid := downstream.parseRequest(message)
	if invalid != nil {
		c.respondInvalid(invalid)
		return
	}
	if c.socket.PeerClosed() { // the client has disconnected after its request
		return
	}
	downstream.lastExchange++
	c.exchange = downstream.lastExchange
	downstream.pending[c.exchange] = c
	request.Exchange = c.exchange
	downstream.emit(request)
}

// abandonExchange lets the core know that the client cannot get a response any more.
func (c *connection) abandonExchange() {
	if c.exchange == 0 {
		return
	}
	delete(c.downstream.pending, c.exchange)
	c.downstream.emit(core.ClientDisconnected{Exchange: c.exchange})
	c.exchange = 0
}

// startClose serves nothing more on the connection: what arrives from now on is
// discarded, and the sending side closes once all is written.
func (c *connection) startClose(reason closeReason) {
	c.logClose(reason)
	c.closing = true
	c.socket.DiscardInput()
	c.closeWriteIfSent()
}

// closeWriteIfSent closes the sending side if everything has been written. If
// not, Tick tries again.
func (c *connection) closeWriteIfSent() {
	if c.writeClosed || c.socket.UnsentBytes() != 0 {
		return
	}
	c.writeClosed = true
	c.phaseStart = c.downstream.now()
	c.socket.CloseWrite()
}

// closeNow closes the connection at once.
func (c *connection) closeNow(reason closeReason) {
	c.logClose(reason)
	c.socket.Close()
	delete(c.downstream.connections, c)
	c.abandonExchange()
}

// idle reports whether nothing is in progress on the connection.
func (c *connection) idle() bool {
	return c.exchange == 0 && !c.closing && c.parser.Idle() && c.socket.UnsentBytes() == 0
}
