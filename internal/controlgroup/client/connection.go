package client

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"piernotch/internal/controlgroup"
	"piernotch/internal/controlgroup/protocol"
	"piernotch/internal/controlgroup/transport"
)

// keepConnected keeps the client connected to the leader until ctx is done. While the leader is unknown, it
// tries the voters in turn until one is the leader or names it.
func (c *Client) keepConnected(ctx context.Context) {
	next := rand.IntN(len(c.cfg.Voters))
	for ctx.Err() == nil {
		voter := c.nextTarget(next)
		next++
		conn, err := transport.Dial(voter.Address, c.handshake)
		if err == nil {
			c.serve(ctx, conn)
		}
		select {
		case <-ctx.Done():
		case <-time.After(rand.N(maxReconnectPause)):
		}
	}
}

// nextTarget returns the voter to connect to: the named leader, or else the next voter in turn. It then forgets
// the leader, so that an unreachable one is tried only once.
func (c *Client) nextTarget(next int) controlgroup.Voter {
	c.mu.Lock()
	defer c.mu.Unlock()
	target := c.cfg.Voters[next%len(c.cfg.Voters)]
	for _, voter := range c.cfg.Voters {
		if voter.Name == c.leader {
			target = voter
		}
	}
	c.leader = ""
	return target
}

func (c *Client) handshake() transport.Handshake {
	return transport.Handshake{Group: c.cfg.Name, Name: c.cfg.Self}
}

// serve uses a new connection until it ends, and closes it once ctx is done. It then fails all pending requests.
func (c *Client) serve(ctx context.Context, conn *transport.Conn) {
	release := context.AfterFunc(ctx, conn.Close)
	defer release()
	c.mu.Lock()
	c.conn = conn
	if c.sharedWatch != nil {
		c.sharedWatch.connectedLocked()
	}
	c.tickLocked()
	c.mu.Unlock()
	c.readUntilClosed(conn)
	c.mu.Lock()
	c.conn = nil
	c.failPendingLocked()
	c.mu.Unlock()
}

func (c *Client) readUntilClosed(conn *transport.Conn) {
	for {
		frame, err := conn.Read()
		if err != nil {
			return
		}
		if frame.Response == nil {
			continue
		}
		c.mu.Lock()
		c.handleResponseLocked(conn, frame.Response)
		c.mu.Unlock()
	}
}

// handleResponseLocked handles the response to a request or an unsolicited message of the voter: a duty may
// have come free, or the shared watch has an event. After ErrNotLeader, the client disconnects and tries the named
// leader, if any.
func (c *Client) handleResponseLocked(conn *transport.Conn, received *transport.Response) {
	unsolicited := received.Key == 0
	if holder := c.holders[received.FreedDuty]; unsolicited && holder != nil {
		holder.RetryNow()
		c.tickLocked()
	}
	if received.Event != nil && c.sharedWatch != nil && received.Duty == c.sharedWatch.duty {
		c.sharedWatch.handleEventLocked(received.Token, *received.Event)
	}
	pending, found := c.pending[received.Key]
	if !found {
		return
	}
	delete(c.pending, received.Key)
	response := protocol.Response{
		Key:      received.Key,
		Grant:    received.Grant,
		Snapshot: received.Snapshot,
		Err:      received.Code.Err(),
	}
	c.observeLocked(pending, response, nil)
	pending.handle(response)
	if errors.Is(response.Err, protocol.ErrNotLeader) {
		c.leader = received.Leader
		conn.Close()
	}
}
