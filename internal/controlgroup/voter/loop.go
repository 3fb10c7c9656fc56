package voter

import (
	"fmt"
	"log/slog"
	"time"
)

const (
	tickInterval = 100 * time.Millisecond // of the state machine's logical clock
	joinInterval = time.Second            // between two requests to be added to the group
	maxEvents    = 4096                   // that wait for the event loop; more are dropped
)

// post hands an event to the event loop. Where too many wait it is dropped, as a frame on a bad link would be.
func (v *Voter) post(event func()) {
	select {
	case v.events <- event:
	case <-v.ctx.Done():
	default:
	}
}

// run is the event loop. It ends with ctx, or ends the voter when the file cannot be written.
func (v *Voter) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-v.ctx.Done():
			return
		case event := <-v.events:
			event()
			v.drainEvents()
		case <-ticker.C:
			v.tick()
		}
		if err := v.advanceStateMachine(); err != nil {
			slog.Error("group: voter file write failed, voter stopped", "err", err)
			v.cancel()
			return
		}
	}
}

// drainEvents handles the events that wait already, so that what came together is written together.
func (v *Voter) drainEvents() {
	for range len(v.events) {
		event := <-v.events
		event()
	}
}

func (v *Voter) tick() {
	if v.stateMachine == nil {
		v.bootstrap()
		return
	}
	v.stateMachine.Tick(v.now())
	if v.stateMachine.Outdated() {
		v.replaceStaleStore()
		return
	}
	v.requestMembership()
	if !v.stateMachine.IsLeader() { // subscribers and publishers turn to the next leader
		clear(v.subscriptions)
	}
	v.logLeader()
}

// logLeader logs a change of the leader, as far as this voter knows it.
func (v *Voter) logLeader() {
	leader, _ := v.stateMachine.Leader()
	if leader.Name == v.leaderName {
		return
	}
	v.leaderName = leader.Name
	slog.Info("group: leader changed", "name", leader.Name, "id", fmt.Sprintf("%x", leader.ID))
}

// advanceStateMachine does what the state machine wants done: it writes, sends, and then answers and notifies
// clients. An error means that the file cannot be written, or that the state machine cannot apply what was committed.
func (v *Voter) advanceStateMachine() error {
	if v.stateMachine == nil {
		return nil
	}
	for {
		ready, any := v.stateMachine.Ready()
		if !any {
			break
		}
		if err := v.store.Write(ready); err != nil {
			return err
		}
		for _, message := range ready.Messages {
			v.send(message)
		}
		if err := v.stateMachine.Advance(v.now(), ready); err != nil {
			return err
		}
	}
	v.announceBootstrapped()
	v.respondAll()
	for _, duty := range v.stateMachine.FreedDuties() {
		v.notifyWaiters(duty)
	}
	return nil
}

// announceBootstrapped has later handshakes say that this voter's file has become part of a group.
func (v *Voter) announceBootstrapped() {
	if !v.store.Identity().Bootstrapped {
		return
	}
	v.mu.Lock()
	v.handshake.Bootstrapped = true
	v.mu.Unlock()
}
