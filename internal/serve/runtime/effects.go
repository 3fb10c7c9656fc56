package runtime

import "piernotch/internal/serve/core"

// emit passes an event to the reducer and performs the resulting effects. Events that the effects emit
// wait in the queue, so that the reducer is never re-entered.
func (b *Balancer) emit(event core.Event) {
	b.events = append(b.events, event)
	if b.handling {
		return
	}
	b.handling = true
	defer func() { b.handling = false }()
	for b.nextEvent < len(b.events) {
		next := b.events[b.nextEvent]
		b.events[b.nextEvent] = nil // the array is reused and would keep the event in memory
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

// perform passes an effect to the part that carries it out.
func (b *Balancer) perform(effect core.Effect) {
	switch effect := effect.(type) {
	case core.StartAttempt:
		b.upstream.StartAttempt(effect)
	case core.WriteAttempt:
		b.upstream.WriteAttempt(effect.Ref)
	case core.CancelAttempt:
		b.upstream.CancelAttempt(effect.Ref)
	case core.Respond:
		if b.recorder != nil {
			b.recorder.responseSent(b.now(), effect)
		}
		b.downstream.Respond(effect)
	case core.HealthCheck:
		b.upstream.HealthCheck(effect)
	case core.WatchDiscovery:
		b.watcher.Watch()
	case core.MoveDiscovery:
		b.watcher.Move(effect.Address)
	case core.CloseIdle:
		b.upstream.CloseIdle(effect.To)
	case core.StopListening:
		b.stopListening()
		b.downstream.CloseIdle()
	case core.Exit:
		b.requestExit()
	case core.PersistOverrides:
		b.writeRecord()
	case core.AdminResult:
		b.admin.Complete(effect.Call, effect.Err)
	case core.DrainClients:
		if effect.On {
			b.downstream.StartDraining()
		} else {
			b.downstream.StopDraining()
		}
	case core.SettingsApplied:
		b.settingsApplied(effect)
	}
}
