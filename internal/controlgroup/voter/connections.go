package voter

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"piernotch/internal/controlgroup"
	"piernotch/internal/controlgroup/consensus"
	"piernotch/internal/controlgroup/transport"
)

const (
	redialInterval   = 250 * time.Millisecond
	acceptRetryDelay = 20 * time.Millisecond // after a failed accept, such as one without file descriptors
	maxAcceptedConns = 1024                  // of clients and voters; more are closed at once
)

// link is the connection to another voter.
type link struct {
	to   controlgroup.Voter
	conn *transport.Conn // nil: not connected; owned by the event loop
}

// maintain connects to another voter, and again whenever the connection ends. It runs on a goroutine of its own
// until ctx is canceled.
func (v *Voter) maintain(peer *link) {
	lastError := ""
	for v.ctx.Err() == nil {
		conn, err := v.dial(peer)
		if err == nil {
			lastError = ""
			v.serveLink(peer, conn)
		} else if err.Error() != lastError {
			lastError = err.Error()
			slog.Warn("group: voter unreachable", "name", peer.to.Name, "address", peer.to.Address, "err", err)
		}
		select {
		case <-v.ctx.Done():
		case <-time.After(redialInterval):
		}
	}
}

// dial connects to the other voter, and checks that it is the one.
func (v *Voter) dial(peer *link) (*transport.Conn, error) {
	conn, err := transport.Dial(peer.to.Address, v.ownHandshake)
	if err != nil {
		return nil, err
	}
	if conn.Peer.Name != peer.to.Name {
		conn.Close()
		return nil, fmt.Errorf("another member, %q, listens there", conn.Peer.Name)
	}
	return conn, nil
}

// serveLink has the event loop use a connection until it ends.
func (v *Voter) serveLink(peer *link, conn *transport.Conn) {
	v.post(func() {
		peer.conn = conn
		v.handshakes[peer.to.Name] = conn.Peer
	})
	v.readFrames(conn)
	v.post(func() {
		if peer.conn == conn {
			peer.conn = nil
			delete(v.handshakes, peer.to.Name) // its file may be another by the next connection
		}
	})
}

// acceptConnections accepts connections until the listener is closed. Each is served by a goroutine that ends with
// the connection or with ctx.
func (v *Voter) acceptConnections() {
	for {
		netConn, err := v.listener.Accept()
		if err != nil {
			if v.ctx.Err() != nil {
				return
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !v.countAccepted() {
			_ = netConn.Close()
			v.releaseAccepted()
			continue
		}
		v.goroutines.Go(func() { v.serveAccepted(netConn) })
	}
}

// countAccepted counts a connection, and reports whether it is within the limit.
func (v *Voter) countAccepted() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.accepted++
	return v.accepted <= maxAcceptedConns
}

func (v *Voter) releaseAccepted() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.accepted--
}

// serveAccepted serves a client's or another voter's connection until it ends.
func (v *Voter) serveAccepted(netConn net.Conn) {
	defer v.releaseAccepted()
	conn, err := transport.Accept(netConn, v.ownHandshake)
	if err != nil {
		slog.Warn("group: connection rejected", "from", netConn.RemoteAddr(), "err", err)
		return
	}
	v.readFrames(conn)
	v.post(func() { v.forget(conn) })
}

// readFrames hands a connection's frames to the event loop until the connection ends or ctx is canceled.
func (v *Voter) readFrames(conn *transport.Conn) {
	stopClosing := context.AfterFunc(v.ctx, conn.Close)
	defer stopClosing()
	defer conn.Close()
	for {
		frame, err := conn.Read()
		if err != nil {
			if errors.Is(err, transport.ErrInvalidFrame) {
				slog.Warn("group: connection closed", "name", conn.Peer.Name, "err", err)
			}
			return
		}
		switch {
		case frame.VoterMessage != nil:
			v.post(func() { v.receive(conn, frame.VoterMessage) })
		case frame.Request != nil:
			v.post(func() { v.handleRequest(conn, frame.Request) })
		}
	}
}

// forget drops what refers to a connection that has ended.
func (v *Voter) forget(conn *transport.Conn) {
	isSame := func(other *transport.Conn) bool { return other == conn }
	for duty, waiting := range v.waiters {
		v.waiters[duty] = slices.DeleteFunc(waiting, isSame)
		if len(v.waiters[duty]) == 0 {
			delete(v.waiters, duty)
		}
	}
	for _, published := range v.subscriptions {
		published.subscribers = slices.DeleteFunc(published.subscribers, isSame)
	}
}

// send sends a message to another voter, if it is connected under the ID that the message is for.
func (v *Voter) send(message consensus.Message) {
	encoded := &transport.VoterMessage{
		From:         message.From,
		To:           message.To,
		Announcement: message.Announcement,
		Accepted:     message.Accepted,
	}
	if message.Raft != nil {
		var err error
		encoded.Raft, err = proto.Marshal(message.Raft)
		if err != nil {
			slog.Error("group: message encoding failed", "err", err)
			return
		}
	}
	for name, peer := range v.links {
		if peer.conn != nil && v.handshakes[name].ID == message.To {
			peer.conn.Send(transport.Frame{VoterMessage: encoded})
		}
	}
}

// receive passes another voter's message to the state machine. One for an earlier file of this voter, or not from the
// voter at the other end, is ignored.
func (v *Voter) receive(conn *transport.Conn, encoded *transport.VoterMessage) {
	if v.stateMachine == nil || encoded.To != v.ownHandshake().ID || encoded.From != conn.Peer.ID {
		return
	}
	message := consensus.Message{
		From:         encoded.From,
		To:           encoded.To,
		Announcement: encoded.Announcement,
		Accepted:     encoded.Accepted,
	}
	if len(encoded.Raft) > 0 {
		message.Raft = &raftpb.Message{}
		if err := proto.Unmarshal(encoded.Raft, message.Raft); err != nil {
			slog.Warn("group: message decoding failed", "name", conn.Peer.Name, "err", err)
			conn.Close()
			return
		}
	}
	if err := v.stateMachine.Step(message); err != nil {
		slog.Warn("group: message rejected", "name", conn.Peer.Name, "err", err)
	}
}
