package downstream

import (
	"errors"
	"log/slog"
	"time"

	"piernotch/internal/http1"
	"piernotch/internal/serve/core"
	"piernotch/internal/serve/eventloop"
	"piernotch/internal/serve/memory"
)

// connection is a client's connection. It implements eventloop.Handler, whose
// methods run on the loop's owning goroutine.
type connection struct {
	downstream         *Downstream
	socket             *eventloop.Conn
	parser             *http1.Parser
	exchange           core.ExchangeID // ID of the request that waits for the core's response; 0: none
	closeAfterResponse bool            // the response to the current request is the last one
	receivedData       bool            // the client has sent at least one byte
	closing            bool            // input is discarded; the sending side closes once all output is written
	writeClosed        bool            // the sending side is closed; the client's side may still be open

	requestMemory  memory.Account // for the request in progress, until it has its response
	responseMemory memory.Account // for the unsent part of responses

	// phaseStart is when the current phase began. A phase begins when the client
	// connects, when a request's first bytes arrive (see waitedUnread), when a response is
	// written, and when the sending side is closed.
	phaseStart time.Duration
}

// Data implements eventloop.Handler: it receives bytes from the client.
func (c *connection) Data(data []byte) {
	if c.closing {
		return
	}
	if c.exchange != 0 {
		// A connection serves one request at a time. Data that comes before the response
		// is a body longer than announced, a pipelined request, or a smuggled request.
		c.abandonExchange()
		c.rejectMalformed(http1.StatusBadRequest, reasonTrailingBytes)
		return
	}
	if c.parser.Idle() {
		c.phaseStart = c.downstream.now() - c.waitedUnread(data)
	}
	c.receivedData = true
	c.parser.Feed(data)
	c.serveParsed()
}

// waitedUnread returns how long the beginning of a request has waited to be read. That of a large one does not count:
// its client may have waited for room in the receive buffer.
func (c *connection) waitedUnread(beginning []byte) time.Duration {
	if len(beginning) > memory.Allowance {
		return 0
	}
	return c.socket.InputAge()
}

// Closed implements eventloop.Handler: the connection has ended, so a pending
// request can no longer get a response.
func (c *connection) Closed(error) {
	c.forget()
	c.abandonExchange()
}

// forget removes an ended connection, and what it holds, from the Downstream.
func (c *connection) forget() {
	delete(c.downstream.connections, c)
	c.holdRequest(0)
	c.responseMemory.SetHeld(0)
}

// serveParsed serves the next request if it is complete, and rejects malformed input.
// It sends 100 Continue to a client that waits for this status before it sends a body.
func (c *connection) serveParsed() {
	for c.exchange == 0 && !c.closing {
		message, err := c.parser.Next()
		if err != nil {
			c.rejectMalformed(parseErrorStatus(err), err.Error())
			return
		}
		if !c.chargeRequest(message) {
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

// parseErrorStatus returns the HTTP status that a parser error names, or else 400.
func parseErrorStatus(err error) int {
	var parseError *http1.Error
	if errors.As(err, &parseError) {
		return parseError.Status
	}
	return http1.StatusBadRequest
}

// rejectMalformed responds to malformed or incomplete input and ends the connection,
// because no further request can be parsed from the input.
func (c *connection) rejectMalformed(status int, reason string) {
	c.downstream.badRequests++
	slog.Info("bad request", "status", status, "err", reason, "client", c.socket.RemoteAddress(),
		"phase_ms", (c.downstream.now() - c.phaseStart).Milliseconds())
	c.closeAfterResponse = true
	c.respondText(status, reason)
}

// serve responds to a health check or an invalid request. It passes any other request
// to the core, unless the client has disconnected or sent more behind it.
func (c *connection) serve(message *http1.Message) {
	if message.Path() == healthPath {
		c.serveHealth(message)
		return
	}
	downstream := c.downstream
	request, invalid := downstream.parseRequest(message, c.arrivalTime())
	if invalid != nil {
		c.respondInvalid(invalid)
		return
	}
	switch c.socket.InputState() {
	case eventloop.InputEnded: // the client has disconnected and cannot get a response
		return
	case eventloop.InputWaits: // and the client's close may be behind it
		c.rejectMalformed(http1.StatusBadRequest, reasonTrailingBytes)
		return
	}
	downstream.lastExchange++
	c.exchange = downstream.lastExchange
	downstream.pending[c.exchange] = c
	request.Exchange = c.exchange
	downstream.emit(request)
}

// arrivalTime returns the earliest time at which a request that is complete now may have arrived. It allows for stalls
// of the process, for the time in the accept queue and for a poller that lags behind.
func (c *connection) arrivalTime() time.Duration {
	waited := c.socket.InputAge()
	if waited > 0 {
		slog.Debug("request waited unread", "waited_ms", waited.Milliseconds())
	}
	return min(c.downstream.arrivalTime(), c.downstream.now()-waited)
}

// abandonExchange tells the core that the pending request, if there is one, can no
// longer get a response.
func (c *connection) abandonExchange() {
	if c.exchange == 0 {
		return
	}
	delete(c.downstream.pending, c.exchange)
	c.downstream.emit(core.ClientDisconnected{Exchange: c.exchange})
	c.exchange = 0
	c.holdRequest(0)
}

// startClose stops serving requests on the connection: what has been received and further
// input is discarded, and the sending side is closed once all output is written.
func (c *connection) startClose(reason closeReason) {
	c.recordClose(reason)
	c.closing = true
	c.socket.DiscardInput()
	c.parser.Discard()
	c.holdRequest(0)
	c.closeWriteIfSent()
}

// closeWriteIfSent closes the sending side if all output has been written, and thereby
// starts lingerTimeout. Otherwise Tick calls closeWriteIfSent again.
func (c *connection) closeWriteIfSent() {
	if c.writeClosed || c.socket.UnsentBytes() != 0 {
		return
	}
	c.writeClosed = true
	c.phaseStart = c.downstream.now()
	c.socket.CloseWrite()
}

// closeNow closes the socket without waiting for unsent output or the client, and
// abandons a pending request.
func (c *connection) closeNow(reason closeReason) {
	c.recordClose(reason)
	c.socket.Close()
	c.forget()
	c.abandonExchange()
}

// idle reports whether no request, response or close is in progress.
func (c *connection) idle() bool {
	return c.exchange == 0 && !c.closing && c.parser.Idle() && c.socket.UnsentBytes() == 0
}
