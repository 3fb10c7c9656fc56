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
	acceptRetryDelay = 20 * time.Millisecond // after a failed accept, as when no file descriptors are left
	maxAcceptedConns = 1024                  // from clients and voters together; further connections are closed at once
	// maxUnhandled is the number of frames of a connection that are read before the first of them has been handled and,
	// if it is a request, responded to. One client can keep others waiting for so many.
	maxUnhandled = 16
)

// link is the outgoing connection to another voter.
type link struct {
	to   controlgroup.Voter
	conn *transport.Conn // owned by the event loop; nil: not connected
}

// maintainLink connects to another voter, and reconnects whenever the connection ends. It runs on a goroutine of its
// own until ctx is canceled.
func (v *Voter) maintainLink(peer *link) {
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

// dial connects to the other voter, and checks the name in its handshake.
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

// serveLink makes a connection available to the event loop until the connection ends.
func (v *Voter) serveLink(peer *link, conn *transport.Conn) {
	v.post(func() {
		peer.conn = conn
		v.handshakes[peer.to.Name] = conn.Peer
	})
	v.readFrames(conn, nil) // at a configured address
	v.post(func() {
		if peer.conn == conn {
			peer.conn = nil
			delete(v.handshakes, peer.to.Name) // the voter may have a new file, and so a new ID, by the next connection
		}
	})
}

// acceptConnections accepts connections until the listener is closed. Each connection is served by a goroutine that
// ends with the connection or when ctx is canceled.
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

// countAccepted counts a new connection, and reports whether it is within maxAcceptedConns. Either way, the caller
// has to call releaseAccepted when the connection ends.
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

// serveAccepted serves the connection of a client or another voter until it ends.
func (v *Voter) serveAccepted(netConn net.Conn) {
	defer v.releaseAccepted()
	conn, err := transport.Accept(netConn, v.ownHandshake)
	if err != nil {
		slog.Warn("group: connection rejected", "from", netConn.RemoteAddr(), "err", err)
		return
	}
	v.readFrames(conn, v.frameBudget)
	v.post(func() { v.removeConn(conn) })
}

// readFrames passes the frames of a connection to the event loop until the connection ends or the voter does. budget
// bounds the larger frames of all connections that share it.
func (v *Voter) readFrames(conn *transport.Conn, budget *transport.FrameBudget) {
	stopClosing := context.AfterFunc(v.ctx, conn.Close)
	defer stopClosing()
	defer conn.Close()
	unhandled := make(chan struct{}, maxUnhandled)
	for {
		select {
		case unhandled <- struct{}{}:
		case <-conn.Done():
			return
		}
		frame, release, err := conn.ReadWithin(budget)
		if err == nil {
			err = checkRequest(conn.Peer.Name, frame.Request)
		}
		if err != nil {
			release()
			if errors.Is(err, transport.ErrInvalidFrame) {
				slog.Warn("group: connection closed", "name", conn.Peer.Name, "err", err)
			}
			return
		}
		v.postFrame(conn, frame, func() {
			release()
			<-unhandled
		})
	}
}

// postFrame passes a frame to the event loop. handled is called once the frame has been handled and, if it is a
// request, responded to.
func (v *Voter) postFrame(conn *transport.Conn, frame transport.Frame, handled func()) {
	switch {
	case frame.VoterMessage != nil:
		v.post(func() {
			v.receive(conn, frame.VoterMessage)
			handled()
		})
	case frame.Request != nil:
		v.post(func() { v.handleRequest(conn, frame.Request, handled) })
	default:
		handled()
	}
}

// removeConn removes a connection that has ended from all waiters and subscribers.
func (v *Voter) removeConn(conn *transport.Conn) {
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

// send sends a message to another voter. It drops the message if no voter with that ID is connected.
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

// receive passes another voter's message to the state machine. It ignores a message to another ID than this voter's,
// such as the ID of a replaced file, and a message from another ID than that of the connection's peer.
func (v *Voter) receive(conn *transport.Conn, encoded *transport.VoterMessage) {
	fromVoter := v.isVoterName(conn.Peer.Name) && encoded.From == conn.Peer.ID
	if v.stateMachine == nil || encoded.To != v.ownHandshake().ID || !fromVoter {
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
