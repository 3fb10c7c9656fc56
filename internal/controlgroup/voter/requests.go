package voter

import (
	"errors"
	"math/rand/v2"
	"slices"

	"piernotch/internal/controlgroup/lease"
	"piernotch/internal/controlgroup/protocol"
	"piernotch/internal/controlgroup/transport"
)

const (
	maxWaiters  = 1024 // per duty; further clients are not notified, and have to repeat their request
	maxNotified = 4    // waiters notified per freed duty; more would be a thundering herd, since only one gets the duty
)

// handleRequest serves a client's request, or passes it to the state machine. The state machine's response is sent
// later, if the client is still connected.
func (v *Voter) handleRequest(conn *transport.Conn, request *transport.Request) {
	if v.stateMachine == nil {
		v.respond(conn, request, protocol.Response{Err: protocol.ErrNotLeader})
		return
	}
	if request.Kind == protocol.Publish || request.Kind == protocol.Subscribe {
		v.respond(conn, request, protocol.Response{Err: v.publishOrSubscribe(conn, request)})
		return
	}
	v.lastKey++
	v.pending[v.lastKey] = func(response protocol.Response) { v.respond(conn, request, response) }
	v.stateMachine.Propose(v.now(), protocol.Request{
		Key:     v.lastKey,
		Kind:    request.Kind,
		Command: request.Command,
		Voter:   request.Voter,
	})
}

// respond sends the response to a client's request. A client that could not acquire a duty becomes a waiter for it.
func (v *Voter) respond(conn *transport.Conn, request *transport.Request, response protocol.Response) {
	conn.Send(transport.Frame{Response: &transport.Response{
		Key:      request.Key,
		Code:     transport.ErrorCodeOf(response.Err),
		Grant:    response.Grant,
		Snapshot: response.Snapshot,
		Leader:   v.leaderName,
	}})
	if errors.Is(response.Err, lease.ErrHeld) {
		v.addWaiter(request.Command.Duty, conn)
	}
}

func (v *Voter) respondAll() {
	for _, response := range v.stateMachine.Responses() {
		respond := v.pending[response.Key]
		if respond != nil {
			delete(v.pending, response.Key)
			respond(response)
		}
	}
}

func (v *Voter) addWaiter(duty lease.Duty, conn *transport.Conn) {
	waiting := v.waiters[duty]
	if len(waiting) < maxWaiters && !slices.Contains(waiting, conn) {
		v.waiters[duty] = append(waiting, conn)
	}
}

// notifyWaiters notifies up to maxNotified waiters, drawn at random, that a duty has come free. If the process that the
// duty was transferred to is among the waiters, it is always notified.
func (v *Voter) notifyWaiters(duty lease.Duty) {
	waiting := v.waiters[duty]
	delete(v.waiters, duty)
	rand.Shuffle(len(waiting), func(i, j int) { waiting[i], waiting[j] = waiting[j], waiting[i] })
	grant, _ := v.stateMachine.Holder(duty)
	for i, conn := range waiting {
		if i < maxNotified || conn.Peer.Name == grant.Holder.Name {
			conn.Send(transport.Frame{Response: &transport.Response{FreedDuty: duty}})
		} else {
			v.waiters[duty] = append(v.waiters[duty], conn)
		}
	}
}
