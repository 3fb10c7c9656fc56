package voter

import (
	"slices"

	"piernotch/internal/controlgroup"
	"piernotch/internal/controlgroup/lease"
	"piernotch/internal/controlgroup/protocol"
	"piernotch/internal/controlgroup/transport"
	"piernotch/internal/controlgroup/watch"
)

// subscription holds the watch events that the holder of a duty has published, and the connections that receive them.
type subscription struct {
	watch.EventLog
	subscribers []*transport.Conn
}

// publishOrSubscribe serves Publish and Subscribe, which need no agreement of the voters. The lease table acts as the
// fence: only the lease holder may publish, under its current token. A voter that does not know yet that it lost
// leadership may relay events of a former holder. Subscribers check versions, and check-quorum soon ends that voter's
// leadership.
func (v *Voter) publishOrSubscribe(conn *transport.Conn, request *transport.Request) error {
	if !v.stateMachine.IsLeader() {
		return protocol.ErrNotLeader
	}
	if request.Event == nil {
		return lease.ErrNotHeld
	}
	duty := request.Command.Duty
	if request.Kind == protocol.Publish && !v.isInForce(request.Command) {
		return lease.ErrNotHeld
	}
	published := v.subscriptions[duty]
	if published == nil {
		if len(v.subscriptions) >= controlgroup.MaxDuties {
			return protocol.ErrOverloaded
		}
		published = &subscription{}
		v.subscriptions[duty] = published
	}
	if request.Kind == protocol.Subscribe {
		published.subscribe(conn, duty, request.Event)
		return nil
	}
	return published.publish(conn, duty, request.Command.Token, request.Event)
}

// isInForce reports whether a command's process holds the duty under the command's token, by the lease table.
func (v *Voter) isInForce(command lease.Command) bool {
	grant, held := v.stateMachine.Holder(command.Duty)
	return held && grant.Token == command.Token && grant.Holder == command.Process
}

// subscribe adds a connection to the subscribers, and sends it the events after the version from.ToVersion, or the
// whole log if that version is not in it.
func (s *subscription) subscribe(conn *transport.Conn, duty lease.Duty, from *controlgroup.WatchEvent) {
	if !slices.Contains(s.subscribers, conn) {
		s.subscribers = append(s.subscribers, conn)
	}
	for _, event := range s.Since(from.Source, from.ToVersion) {
		conn.Send(transport.Frame{Response: &transport.Response{Duty: duty, Token: s.Token(), Event: &event}})
	}
}

// publish appends an event to the log, and sends it to all subscribers but the publisher.
func (s *subscription) publish(
	conn *transport.Conn, duty lease.Duty, token lease.Token, event *controlgroup.WatchEvent,
) error {
	if err := s.Append(token, *event); err != nil {
		return err
	}
	for _, subscriber := range s.subscribers {
		if subscriber != conn {
			subscriber.Send(transport.Frame{Response: &transport.Response{Duty: duty, Token: token, Event: event}})
		}
	}
	return nil
}
