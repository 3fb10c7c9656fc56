package upstream

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"strconv"
	"time"

	"piernotch/internal/http1"
	"piernotch/internal/serve/eventloop"
	"piernotch/internal/serve/memory"
)

// minDeadlineMs is sent as X-Deadline-Ms if less time is left. Without a deadline, a server would not stop working on
// the request.
const minDeadlineMs = 1

// connection is a connection to a server. It carries one attempt at a time. It
// implements eventloop.Handler, whose methods run on the loop's owning goroutine.
type connection struct {
	number          int // sequence number of its dial in this process, for the log
	pool            *pool
	generation      int // of the pool when the connection was dialed
	socket          *eventloop.Conn
	parser          *http1.Parser
	attempt         *attempt      // nil: the connection is free
	lastActivity    time.Duration // when the connection was set up, began to settle, became idle or last got data
	idleFor         time.Duration // idle time before the current attempt
	responses       int           // number of responses received
	lastRequestID   string        // ID of the last request that got a response, for the log
	carried         carriedExchanges
	repeatDropped   bool // a second response to an earlier request came while the attempt's response was due
	requestWritten  bool // the attempt's request was handed to the socket
	responseStarted bool // part of a response has arrived

	requestMemory  memory.Account // for the unsent part of the attempt's request
	responseMemory memory.Account // for the attempt's incomplete response
}

// canCarry reports whether the connection may carry an attempt. Within repeatWindow after an equal request it may not:
// equal requests often get equal responses, so a second response to that request could be mistaken for the attempt's.
// Health checks are exempt: their connections are not reused.
func (c *connection) canCarry(attempt *attempt, now time.Duration) bool {
	return attempt.healthCheck || !c.carried.hasRequest(attempt.digest, now)
}

// writeRequest hands the attempt's request to the socket, with the time left until
// the attempt's deadline.
func (c *connection) writeRequest(now time.Duration) {
	request := c.attempt.request
	fields := http1.Fields{{Name: "Host", Value: c.pool.endpoint.Address}}
	if request.ID != "" {
		fields = append(fields, http1.Field{Name: "X-Request-Id", Value: request.ID})
	}
	if request.IdempotencyKey != "" {
		fields = append(fields, http1.Field{Name: "Idempotency-Key", Value: request.IdempotencyKey})
	}
	if request.ContentType != "" {
		fields = append(fields, http1.Field{Name: "Content-Type", Value: request.ContentType})
	}
	remaining := max((c.attempt.deadline - now).Milliseconds(), minDeadlineMs)
	fields = append(fields, http1.Field{Name: "X-Deadline-Ms", Value: strconv.FormatInt(remaining, 10)})
	c.requestWritten = true
	c.attempt.request = nil
	// After an error the event loop calls Closed, which ends the attempt.
	_ = c.socket.Write(http1.AppendRequest(nil, request.Method, request.Target, fields, request.Body))
	c.chargeRequest()
}

// Data implements eventloop.Handler: it receives bytes from the server.
func (c *connection) Data(data []byte) {
	if c.attempt == nil || !c.requestWritten {
		c.logUnsolicited(len(data))
		c.disconnected(fmt.Errorf("%w: %d bytes", errUnsolicitedData, len(data)))
		return
	}
	c.responseStarted = true
	c.lastActivity = c.pool.upstream.now()
	c.parser.Feed(data)
	for c.attempt != nil { // more than one response if a second response to an earlier request comes first
		response, err := c.parser.Next()
		if err == nil && response == nil {
			err = c.chargeResponse()
		}
		if err != nil {
			c.fail(Malformed, err)
			return
		}
		if response == nil {
			return
		}
		c.responseParsed(response)
	}
}

// responseParsed records a complete response and ends the attempt with it, or drops the response if it belongs to an
// earlier request.
func (c *connection) responseParsed(response *http1.Message) {
	now := c.pool.upstream.now()
	digests := exchangeDigests{request: c.attempt.digest, response: digestResponse(response)}
	switch {
	case c.isRepeat(digests.response, now):
		c.dropRepeat(digests)
	case c.repeatDropped && response.Status != http1.StatusOK:
		// If the dropped response was the attempt's own after all, this one must not prove that nothing was executed.
		c.fail(Malformed, errRepeatedResponse)
	case response.Status != http1.StatusOK: // often equal, but no connection is reused behind rejections and errors
		c.responseReceived(response, false)
	default:
		c.carried.add(digests, now)
		distinct := c.pool.upstream.history.add(c.attempt.class, digests)
		c.responseReceived(response, distinct)
	}
}

// Closed implements eventloop.Handler: the connection has ended. An orderly close
// completes a response whose body is delimited by the close. After an error other
// than io.EOF, such a response is truncated and must not count as complete. It is never
// dropped as a repeat, because no response that leaves the connection open equals it.
func (c *connection) Closed(err error) {
	responsePending := c.attempt != nil && c.requestWritten && c.responseStarted
	if responsePending && errors.Is(err, io.EOF) {
		if response := c.parser.End(); response != nil {
			c.responseParsed(response)
			return
		}
	}
	if err == nil {
		err = errClosedByServer
	}
	c.disconnected(err)
}

// disconnected fails the connection with the stage that its attempt has reached.
func (c *connection) disconnected(err error) {
	stage := Connecting
	switch {
	case c.responseStarted:
		stage = ReadingResponse
	case c.requestWritten && c.socket.UnsentBytes() == 0:
		stage = AwaitingResponse
	case c.requestWritten:
		stage = Writing
	}
	c.fail(stage, err)
}

// fail closes the connection, removes it from its pool, and fails its attempt, if it has one.
func (c *connection) fail(stage Stage, err error) {
	attempt := c.attempt
	c.attempt = nil
	c.close()
	c.pool.remove(c)
	if attempt == nil {
		return
	}
	c.pool.upstream.fail(attempt, &AttemptError{
		Stage:      stage,
		Address:    c.pool.endpoint.Address,
		Connection: c.number,
		Responses:  c.responses,
		IdleFor:    c.idleFor,
		Err:        err,
	})
}

// logUnsolicited logs data that arrived while no response was due, and counts the data as a second response (see
// repeatReceived). Nothing else shows that a connection carries more responses than requests.
func (c *connection) logUnsolicited(size int) {
	slog.Info("unsolicited data from server", "server", c.pool.endpoint.Address, "connection", c.number, "bytes", size,
		"last_id", c.lastRequestID, "last_response_ms", c.sinceLastResponse().Milliseconds(), "responses", c.responses)
	c.pool.upstream.repeatReceived(c.pool.endpoint, c.sinceLastResponse())
}

// logResponse logs a response and its connection. It also logs and counts data that directly follows the response.
func (c *connection) logResponse(attempt *attempt, response *http1.Message) {
	slog.Debug("server response", "id", attempt.requestID, "attempt", int(attempt.ref.Number),
		"server", c.pool.endpoint.Address, "status", response.Status, "bytes", len(response.Body),
		"connection", c.number, "responses", c.responses, "idle_ms", c.idleFor.Milliseconds())
	if !c.parser.Idle() {
		c.pool.upstream.UnsolicitedData++
		slog.Info("data beyond the response", "id", attempt.requestID, "server", c.pool.endpoint.Address,
			"connection", c.number)
	}
}

// closeAndReplace closes a connection that is in none of its pool's lists, and
// dials another if attempts wait for a connection.
func (c *connection) closeAndReplace() {
	c.close()
	c.pool.dialForWaiting()
}

// responseReceived ends the attempt with the server's response. The connection
// settles if it can be reused, and is closed otherwise. distinct is what
// responseHistory.add has returned for the response.
func (c *connection) responseReceived(response *http1.Message, distinct bool) {
	attempt := c.attempt
	c.attempt = nil
	attempt.connection = nil
	c.pool.upstream.forget(attempt)
	c.responses++
	c.releaseMemory()
	c.lastRequestID = attempt.requestID
	c.logResponse(attempt, response)
	if distinct && c.reusableAfter(attempt, response) {
		c.pool.settle(c)
	} else {
		c.closeAndReplace()
	}
	c.pool.upstream.complete(attempt, response, c)
}

// reusableAfter reports whether the connection can carry another request after a
// response to an attempt. It cannot while singleUse is active for the endpoint, after a
// health check or a dropped repeat, or if the response is a rejection or an error,
// announces the close, was followed by more bytes, or came before the request was
// completely written.
func (c *connection) reusableAfter(attempt *attempt, response *http1.Message) bool {
	// Rejections, errors and responses to health checks of a server are often identical. On a reused connection, a
	// second response to this request could not be told from the response to the next request.
	if response.Status != http1.StatusOK || attempt.healthCheck || c.repeatDropped {
		return false
	}
	singleUse := c.pool.upstream.singleUse.active(c.pool.endpoint, c.pool.upstream.now())
	return !singleUse && !response.Close && c.parser.Idle() && c.socket.UnsentBytes() <= 0
}
