package voter

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"

	"piernotch/internal/controlgroup"
	"piernotch/internal/controlgroup/lease"
	"piernotch/internal/controlgroup/protocol"
	"piernotch/internal/controlgroup/transport"
)

const (
	maxWaiters  = 1024 // per duty; further clients are not notified, and have to repeat their request
	maxNotified = 4    // waiters notified per freed duty; more would be a thundering herd, since only one gets the duty
)

// checkRequest checks what a member may ask for: names of valid length, and leases for itself only. The error wraps
// transport.ErrInvalidFrame. request may be nil.
func checkRequest(member string, request *transport.Request) error {
	if request == nil {
		return nil
	}
	command := &request.Command
	ownLease := request.Kind == protocol.Propose || request.Kind == protocol.Renew || request.Kind == protocol.Publish
	usesDuty := ownLease || request.Kind == protocol.Read || request.Kind == protocol.Subscribe
	switch {
	case usesDuty && !controlgroup.ValidName(string(command.Duty)):
		return fmt.Errorf("%w: a duty's name of %d bytes", transport.ErrInvalidFrame, len(command.Duty))
	case ownLease && command.Process.Name != member:
		return fmt.Errorf("%w: a lease of another member", transport.ErrInvalidFrame)
	case command.Op == lease.Transfer && !controlgroup.ValidName(command.Successor.Name):
		return fmt.Errorf("%w: a successor's name of %d bytes", transport.ErrInvalidFrame, len(command.Successor.Name))
	}
	return nil
}

// isVoterName reports whether a name is that of a configured voter.
func (v *Voter) isVoterName(name string) bool {
	return slices.ContainsFunc(v.config.Voters, func(voter controlgroup.Voter) bool { return voter.Name == name })
}

// handleRequest serves a client's request, or passes it to the state machine. The state machine's response is sent
// later, if the client is still connected. handled is called after the response.
func (v *Voter) handleRequest(conn *transport.Conn, request *transport.Request, handled func()) {
	respond := func(response protocol.Response) {
		v.respond(conn, request, response)
		handled()
	}
	switch {
	case v.stateMachine == nil:
		respond(protocol.Response{Err: protocol.ErrNotLeader})
		return
	case request.Kind == protocol.Publish || request.Kind == protocol.Subscribe:
		respond(protocol.Response{Err: v.publishOrSubscribe(conn, request)})
		return
	case request.Kind == protocol.AddVoter && !v.isVoterName(request.Voter.Name):
		respond(protocol.Response{Err: protocol.ErrNameInUse})
		return
	}
	v.lastKey++
	v.pending[v.lastKey] = respond
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

// failPending responds to all requests that the state machine will not respond to any more.
func (v *Voter) failPending() {
	for key, respond := range v.pending {
		delete(v.pending, key)
		respond(protocol.Response{Err: protocol.ErrOutcomeUnknown})
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
