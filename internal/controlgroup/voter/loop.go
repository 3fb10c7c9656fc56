package voter

import (
	"fmt"
	"log/slog"
	"time"
)

const (
	tickInterval = 100 * time.Millisecond // of the state machine's logical clock
	joinInterval = time.Second            // between two requests to be added to the group
	maxEvents    = 4096                   // queued for the event loop
)

// post queues an event for the event loop, and waits while the queue is full. It must not be called by the event loop.
func (v *Voter) post(event func()) {
	select {
	case v.events <- event:
	case <-v.ctx.Done():
	}
}

// run is the event loop. It returns when ctx is canceled. It ends the voter when the file cannot be written or a
// committed entry cannot be applied.
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

// drainEvents handles the events that are already queued, so that all of them share one write.
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
	if !v.stateMachine.IsLeader() { // subscribers and publishers switch to the next leader
		clear(v.subscriptions)
	}
	v.logLeader()
}

func (v *Voter) logLeader() {
	leader, _ := v.stateMachine.Leader()
	if leader.Name == v.leaderName {
		return
	}
	v.leaderName = leader.Name
	slog.Info("group: leader changed", "name", leader.Name, "id", fmt.Sprintf("%x", leader.ID))
}

// advanceStateMachine carries out the state machine's output: it writes to the file, sends messages, and then responds
// to and notifies clients. An error means that the file cannot be written or that a committed entry cannot be applied.
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

// announceBootstrapped sets Bootstrapped in later handshakes once this voter has become part of a group.
func (v *Voter) announceBootstrapped() {
	if !v.store.Identity().Bootstrapped {
		return
	}
	v.mu.Lock()
	v.handshake.Bootstrapped = true
	v.mu.Unlock()
}
