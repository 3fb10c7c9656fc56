package downstream

import (
	"strconv"
	"time"

	"piernotch"
	"piernotch/internal/http1"
	"piernotch/internal/serve/core"
)

// healthPath is the path at which this process responds to health checks.
const healthPath = "/_health"

// Bodies of this process's own responses to valid requests. Clients may depend on the
// exact texts, so "refused" stays, although the code says "rejected".
const (
	bodyRejected    = "refused: trying again is harmless\n"
	bodyDuplicateID = "another open request has this X-Request-Id\n"
	bodyRepeatedID  = "a request with this X-Request-Id may have run\n"
	bodyFailed      = "failed: the request may have run\n"
)

// Respond writes the final response of an exchange. It does nothing if the exchange
// is unknown, for example because its client has disconnected.
func (d *Downstream) Respond(effect core.Respond) {
	client := d.pending[effect.Exchange]
	if client == nil {
		return
	}
	delete(d.pending, effect.Exchange)
	client.exchange = 0
	client.closeAfterResponse = client.closeAfterResponse || effect.Close
	switch effect.Result {
	case core.Served:
		client.respondServed(effect.Response)
	case core.Rejected:
		client.respondRejected(effect.RetryAfter)
	case core.DuplicateID:
		client.respond(http1.StatusConflict, nil, []byte(bodyDuplicateID))
	case core.RepeatedID:
		client.respond(http1.StatusConflict, nil, []byte(bodyRepeatedID))
	default:
		status := http1.StatusBadGateway
		if effect.LastStatus == piernotch.Timeout {
			status = http1.StatusGatewayTimeout
		}
		client.respond(status, nil, []byte(bodyFailed))
	}
}

// respondServed forwards the content type and body of a server's response. The status
// is always 200, because no other status counts as served.
func (c *connection) respondServed(response *core.ResponseMessage) {
	var fields http1.Fields
	if response.ContentType != "" {
		fields = append(fields, http1.Field{Name: "Content-Type", Value: response.ContentType})
	}
	c.respond(http1.StatusOK, fields, response.Body)
}

// respondRejected responds that the request was not executed. retryAfter is the time
// after which a retry makes sense. 0 means at any time: then no Retry-After field is sent.
func (c *connection) respondRejected(retryAfter time.Duration) {
	var fields http1.Fields
	if retryAfter > 0 {
		seconds := strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64)
		fields = append(fields, http1.Field{Name: "Retry-After", Value: seconds})
	}
	c.respond(http1.StatusServiceUnavailable, fields, []byte(bodyRejected))
}

// serveHealth responds to a health check of this process: 200 if the process is ready
// to serve requests, 503 if not, and 405 to any method but GET.
func (c *connection) serveHealth(message *http1.Message) {
	switch {
	case message.Method != http1.MethodGet:
		c.respondInvalid(methodNotAllowed(http1.MethodGet))
	case !c.downstream.ready():
		c.respondText(http1.StatusServiceUnavailable, "no list of feed servers yet, drained, or ending")
	default:
		c.respondText(http1.StatusOK, "ok")
	}
}

// respondInvalid rejects an invalid request, with an Allow field if its method is
// wrong.
func (c *connection) respondInvalid(invalid *invalidRequest) {
	if invalid.allow == "" {
		c.respondText(invalid.status, invalid.reason)
		return
	}
	c.respondText(invalid.status, invalid.reason, http1.Field{Name: "Allow", Value: invalid.allow})
}

// respondText writes a response whose body is one line of plain text.
func (c *connection) respondText(status int, text string, fields ...http1.Field) {
	fields = append(fields, http1.Field{Name: "Content-Type", Value: "text/plain"})
	c.respond(status, fields, []byte(text+"\n"))
}

// respond writes the response to the request in progress. If closeAfterResponse is set, the
// response announces the close, and the connection starts to close.
func (c *connection) respond(status int, fields http1.Fields, body []byte) {
	c.holdRequest(0)
	if c.closeAfterResponse {
		fields = append(fields, http1.Field{Name: "Connection", Value: "close"})
	}
	c.phaseStart = c.downstream.now()
	if c.socket.Write(http1.AppendResponse(nil, status, fields, body)) != nil {
		c.closing = true // the connection is gone; Closed will be called
		return
	}
	if !c.chargeResponse() {
		return
	}
	if c.closeAfterResponse {
		c.startClose(closeLastResponse)
	}
}
