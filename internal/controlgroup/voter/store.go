package voter

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"

	"piernotch/internal/controlgroup/consensus"
	"piernotch/internal/controlgroup/lease"
	"piernotch/internal/controlgroup/protocol"
	"piernotch/internal/controlgroup/transport"
)

// openStore opens the voter's file, and starts the state machine if the file's voter has been part of a group. A
// corrupt file is quarantined and replaced by a new file.
func (v *Voter) openStore() error {
	store, state, err := consensus.OpenStore(v.config.StorePath, v.config.Name, v.config.Self)
	if errors.Is(err, consensus.ErrCorrupt) {
		quarantined, renameErr := consensus.Quarantine(v.config.StorePath)
		if renameErr != nil {
			return errors.Join(err, renameErr)
		}
		slog.Error("group: voter file corrupt, quarantined", "err", err, "quarantined", quarantined)
		store, state, err = consensus.OpenStore(v.config.StorePath, v.config.Name, v.config.Self)
	}
	if err != nil {
		return &StartError{Setting: "disk", Err: err}
	}
	v.store = store
	identity := store.Identity()
	v.mu.Lock()
	v.handshake = transport.Handshake{
		Group:        v.config.Name,
		Name:         v.config.Self,
		ID:           identity.ID,
		Bootstrapped: identity.Bootstrapped,
	}
	v.mu.Unlock()
	slog.Info("group: voter started",
		"group", v.config.Name,
		"name", v.config.Self,
		"id", fmt.Sprintf("%x", identity.ID),
		"start_count", identity.StartCount,
		"bootstrapped", identity.Bootstrapped)
	if !identity.Bootstrapped {
		return nil
	}
	return v.startStateMachine(state)
}

func (v *Voter) startStateMachine(state consensus.PersistentState) error {
	identity := v.store.Identity()
	var err error
	v.stateMachine, err = consensus.New(consensus.Config{
		ID:          identity.ID,
		Incarnation: lease.Incarnation(rand.Uint64()),
		StartCount:  identity.StartCount,
		State:       state,
		Timing:      lease.Timing{Duration: v.config.LeaseDuration, MaxClockDrift: v.config.MaxClockDrift},
	})
	return err
}

// bootstrap starts the state machine of a voter with a new file. If a connected voter has been part of a group, this
// voter starts empty and requests to be added. Otherwise it bootstraps a new group once all configured voters are
// connected, not before: this voter's empty file does not prove that there is no group.
func (v *Voter) bootstrap() {
	self := v.ownHandshake()
	voters := []protocol.Voter{{ID: self.ID, Name: self.Name}}
	groupExists := false
	for _, configured := range v.config.Voters {
		peer, connected := v.handshakes[configured.Name]
		if connected {
			groupExists = groupExists || peer.Bootstrapped
			voters = append(voters, protocol.Voter{ID: peer.ID, Name: peer.Name})
		}
	}
	var err error
	switch {
	case groupExists:
		err = v.startStateMachine(consensus.PersistentState{})
	case len(voters) == len(v.config.Voters):
		err = v.bootstrapGroup(voters)
	default:
		return
	}
	if err != nil {
		slog.Error("group: bootstrap failed", "err", err)
		v.cancel()
	}
}

// bootstrapGroup writes the initial state of a new group to the file. The other voters write the same state, since all
// sort the voters by name.
func (v *Voter) bootstrapGroup(voters []protocol.Voter) error {
	slices.SortFunc(voters, func(first, second protocol.Voter) int { return cmp.Compare(first.Name, second.Name) })
	state := consensus.Bootstrap(voters)
	if err := v.store.Bootstrap(state); err != nil {
		return err
	}
	slog.Info("group: bootstrapped", "group", v.config.Name, "voters", len(voters))
	return v.startStateMachine(state)
}

// requestMembership sends AddVoter to all connected voters every joinInterval until this voter is a member. Only the
// leader among them serves the request.
func (v *Voter) requestMembership() {
	id := v.ownHandshake().ID
	isVoter := slices.ContainsFunc(v.stateMachine.Voters(), func(other protocol.Voter) bool { return other.ID == id })
	if v.now() < v.nextJoin || isVoter {
		return
	}
	v.nextJoin = v.now() + joinInterval
	request := &transport.Request{Kind: protocol.AddVoter, Voter: protocol.Voter{ID: id, Name: v.config.Self}}
	for _, link := range v.links {
		if link.conn != nil {
			link.conn.Send(transport.Frame{Request: request})
		}
	}
}

// replaceStaleStore quarantines a file of which the group has seen a newer state, and starts again with an empty file.
func (v *Voter) replaceStaleStore() {
	_ = v.store.Close()
	quarantined, err := consensus.Quarantine(v.config.StorePath)
	slog.Error("group: voter file stale, quarantined", "quarantined", quarantined)
	v.stateMachine = nil
	v.failPending()
	if err == nil {
		err = v.openStore()
	}
	if err != nil {
		slog.Error("group: voter failed", "err", err)
		v.cancel()
		return
	}
	// Reconnect, so that the handshakes of the new connections carry this voter's new ID.
	for _, link := range v.links {
		if link.conn != nil {
			link.conn.Close()
		}
	}
}
