package discovery

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"piernotch/internal/http1"
	"piernotch/internal/serve/eventloop"
)

// listPath is the path of a poll's request to the discovery service.
const listPath = "/catalog/members"

// connection is a connection to the discovery service. It implements eventloop.Handler, whose
// methods ignore all events once the watcher has dropped the connection.
type connection struct {
	watcher *Watcher
	socket  *eventloop.Conn
	parser  *http1.Parser
}

// query is what a poll requests.
type query struct {
	version  uint64        // request changes since this generation
	complete bool          // request the complete list instead, which the service sends at once
	wait     time.Duration // how long the service may hold the poll if nothing changes
}

// target returns the request target of the poll: path and query string.
func (q query) target() string {
	if q.complete {
		return listPath
	}
	wait := strconv.FormatInt(q.wait.Milliseconds(), 10)
	return listPath + "?index=" + strconv.FormatUint(q.version, 10) + "&wait=" + wait
}

func (c *connection) writePoll(host string, polled query) {
	fields := http1.Fields{{Name: "Host", Value: host}}
	// A failed write is also reported to Closed, which fails the poll.
	_ = c.socket.Write(http1.AppendRequest(nil, http1.MethodGet, polled.target(), fields, nil))
}

// Data implements eventloop.Handler. It parses responses; data that arrives while no response is
// due fails the watch.
func (c *connection) Data(data []byte) {
	watcher := c.watcher
	if watcher.connection != c {
		return
	}
	if !watcher.responseDue() {
		watcher.fail(fmt.Errorf("%w: %d bytes", errUnsolicitedData, len(data)))
		return
	}
	c.parser.Feed(data)
	response, err := c.parser.Next()
	switch {
	case err != nil:
		watcher.fail(err)
	case response != nil:
		watcher.responseReceived(response)
	}
}

// Closed implements eventloop.Handler. An orderly close may complete a response that is delimited
// by the close. After any other error the response is truncated and must not be used.
func (c *connection) Closed(err error) {
	watcher := c.watcher
	if watcher.connection != c {
		return
	}
	var response *http1.Message
	if errors.Is(err, io.EOF) {
		response = c.parser.End()
	}
	if err == nil {
		err = errClosedByServer
	}
	switch {
	case response != nil:
		watcher.responseReceived(response)
	case watcher.responseDue():
		watcher.connectionFailed(fmt.Errorf("connection ended: %w", err))
	default:
		watcher.connection = nil
	}
}
