package client

import (
	"time"

	"piernotch/internal/controlgroup/lease"
	"piernotch/internal/controlgroup/protocol"
	"piernotch/internal/controlgroup/transport"
)

// RequestRecord is one request of a client, as the client saw it.
type RequestRecord struct {
	Request    protocol.Request
	SentAt     time.Time
	ReceivedAt time.Time         // of the response, or when the connection ended
	Response   protocol.Response // the zero value if Err is set
	Err        error             // transport.ErrClosed if there was no response
}

// RequestObserver is called with every request once it has ended. The laboratory checks the history of
// requests by it. It is called with the client's lock held: it must neither block nor call the client.
type RequestObserver func(RequestRecord)

// responseHandler takes the response to a request. It is called with the client's lock held.
type responseHandler func(protocol.Response)

// pendingRequest is a request that was sent and has no response yet.
type pendingRequest struct {
	request protocol.Request
	sentAt  time.Time
	handle  responseHandler
}

// sendLeaseRequestLocked sends a request of a holder, which gets its outcome.
func (c *Client) sendLeaseRequestLocked(holder *lease.Holder, request lease.Request) {
	sent := c.sendLocked(protocol.RequestFor(request), func(response protocol.Response) {
		if protocol.IsFinal(response.Err) {
			holder.HandleResponse(c.now(), request.Seq, response.Grant, response.Err)
		} else {
			holder.RequestLost(request.Seq)
		}
	})
	if !sent {
		holder.RequestLost(request.Seq)
	}
}

// sendLocked sends a request and reports whether there is a connection to send it on. If so, handle is
// called once: with the response, or with ErrOutcomeUnknown when the connection ends without one.
func (c *Client) sendLocked(request protocol.Request, handle responseHandler) bool {
	if c.conn == nil {
		return false
	}
	c.lastKey++
	request.Key = c.lastKey
	c.pending[request.Key] = pendingRequest{request, time.Now(), handle}
	c.conn.Send(transport.Frame{Request: &transport.Request{
		Key:     request.Key,
		Kind:    request.Kind,
		Command: request.Command,
		Voter:   request.Voter,
		Event:   request.Event,
	}})
	return true
}

// leaveUnresponsiveVoterLocked closes the connection to a voter that has not responded in time.
func (c *Client) leaveUnresponsiveVoterLocked() {
	if c.conn == nil {
		return
	}
	for _, pending := range c.pending {
		if time.Since(pending.sentAt) > responseTimeout {
			c.conn.Close()
			c.leader = ""
			return
		}
	}
}

// failPendingLocked ends all requests whose connection has ended.
func (c *Client) failPendingLocked() {
	for key, pending := range c.pending {
		c.observeLocked(pending, protocol.Response{}, transport.ErrClosed)
		pending.handle(protocol.Response{Err: protocol.ErrOutcomeUnknown})
		delete(c.pending, key)
	}
}

func (c *Client) observeLocked(pending pendingRequest, response protocol.Response, err error) {
	if c.observer == nil {
		return
	}
	c.observer(RequestRecord{
		Request:    pending.request,
		SentAt:     pending.sentAt,
		ReceivedAt: time.Now(),
		Response:   response,
		Err:        err,
	})
}
