package runtime

import (
	"piernotch/internal/serve/core"
	"piernotch/internal/serve/upstream"
)

// emit passes an event to the reducer and performs the effects. Effects may bring further events,
// which wait in the queue: the reducer is never entered twice.
func (b *Balancer) emit(event core.Event) {
	b.events = append(b.events, event)
	if b.handling {
		return
	}
	b.handling = true
	defer func() { b.handling = false }()
	for b.nextEvent < len(b.events) {
		next := b.events[b.nextEvent]
		b.events[b.nextEvent] = nil // the array is used again and must keep no request alive
		b.nextEvent++
		now := b.now()
		if b.recorder != nil {
			b.recorder.eventReceived(now, next)
		}
		for _, effect := range b.core.Handle(now, next) {
			b.perform(effect)
		}
	}
	b.events, b.nextEvent = b.events[:0], 0
}

// perform carries out one effect.
func (b *Balancer) perform(effect core.Effect) {
	switch e := effect.(type) {
	case core.StartAttempt:
		b.upstream.StartAttempt(e, e.Message.(*upstream.Request))
	case core.WriteAttempt:
		b.upstream.WriteAttempt(e.Ref)
	case core.CancelAttempt:
		b.upstream.CancelAttempt(e.Ref)
	case core.Respond:
		if b.recorder != nil {
			b.recorder.responseSent(b.now(), e)
		}
		b.downstream.Respond(e)
	case core.HealthCheck:
		b.upstream.HealthCheck(e)
	case core.WatchDiscovery:
		b.watcher.Watch()
	case core.MoveDiscovery:
		b.watcher.Move(e.Address)
	case core.CloseIdle:
		b.upstream.CloseIdle(e.To)
	case core.StopListening:
		b.stopListening()
		b.downstream.CloseIdle()
	case core.Exit:
		b.requestExit()
	case core.PersistOverrides:
		b.siblings.writeRecord()
	case core.AdminResult:
		b.admin.Complete(e.Call, e.Err)
	case core.DrainClients:
		b.downstream.SetDraining(e.On)
	case core.SettingsApplied:
		b.settingsApplied(e)
	}
}
