package client

import (
	"time"

	"piernotch/internal/controlgroup/lease"
	"piernotch/internal/controlgroup/protocol"
	"piernotch/internal/controlgroup/transport"
)

// RequestRecord is a request that has ended, as the client saw it.
type RequestRecord struct {
	Request    protocol.Request
	SentAt     time.Time
	ReceivedAt time.Time         // when the response arrived or the connection ended
	Response   protocol.Response // the zero value if Err is set
	Err        error             // transport.ErrClosed if the connection ended without a response
}

// RequestObserver is called once for each request that has ended. The laboratory checks the request history
// with it. It is called with the client's lock held: it must not block, and would deadlock if it called the
// client.
type RequestObserver func(RequestRecord)

// responseHandler takes the response to a request. It is called with the client's lock held.
type responseHandler func(protocol.Response)

// pendingRequest is a sent request, kept until its response arrives or the connection ends.
type pendingRequest struct {
	request protocol.Request
	sentAt  time.Time
	handle  responseHandler
}

// sendLeaseRequestLocked sends a request of a lease holder, and passes the outcome to the holder.
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

// sendLocked sends a request, and reports whether there is a connection to send it on. If so, handle is called
// once, later: with the response, or with ErrOutcomeUnknown if the connection ends first.
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

// leaveUnresponsiveVoterLocked closes the connection if a request on it has had no response within
// responseTimeout. The client then tries the next voter in turn.
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

// failPendingLocked ends all pending requests with ErrOutcomeUnknown, because their connection has ended.
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
