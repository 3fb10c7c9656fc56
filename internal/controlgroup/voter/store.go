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

// openStore opens the voter's file, in place of a corrupt one a new one, and starts the machine if the file is that
// of a group's voter.
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
		"starts", identity.StartCount,
		"bootstrapped", identity.Bootstrapped)
	if !identity.Bootstrapped {
		return nil
	}
	return v.startMachine(state)
}

func (v *Voter) startMachine(state consensus.PersistentState) error {
	identity := v.store.Identity()
	var err error
	v.machine, err = consensus.New(consensus.Config{
		ID:          identity.ID,
		Incarnation: rand.Uint64(),
		StartCount:  identity.StartCount,
		State:       state,
		Timing:      lease.Timing{Duration: v.config.LeaseDuration, MaxClockDrift: v.config.MaxClockDrift},
	})
	return err
}

// bootstrap starts the machine of a voter with a new file. If all configured voters are connected and none has been
// part of the group, a new group is made; if one has, this voter starts empty and asks to be added. While a voter
// is missing nothing happens: an empty file is no proof that there is no group.
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
		err = v.startMachine(consensus.PersistentState{})
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

// bootstrapGroup makes the file that of a voter of a new group, as every other voter does with its own.
func (v *Voter) bootstrapGroup(voters []protocol.Voter) error {
	slices.SortFunc(voters, func(a, b protocol.Voter) int { return cmp.Compare(a.Name, b.Name) })
	state := consensus.Bootstrap(voters)
	if err := v.store.Bootstrap(state); err != nil {
		return err
	}
	slog.Info("group: bootstrapped", "group", v.config.Name, "voters", len(voters))
	return v.startMachine(state)
}

// requestMembership asks all connected voters, one of which leads, to add this one, as long as it does not vote.
func (v *Voter) requestMembership() {
	id := v.ownHandshake().ID
	isVoter := slices.ContainsFunc(v.machine.Voters(), func(o protocol.Voter) bool { return o.ID == id })
	if v.now() < v.nextJoin || isVoter {
		return
	}
	v.nextJoin = v.now() + joinInterval
	request := &transport.Request{Kind: protocol.AddVoter, Voter: protocol.Voter{ID: id, Name: v.config.Self}}
	for _, l := range v.links {
		if l.conn != nil {
			l.conn.Send(transport.Frame{Request: request})
		}
	}
}

// replaceStaleStore quarantines a file that is older than what the group has seen of it, and starts again with an
// empty one.
func (v *Voter) replaceStaleStore() {
	_ = v.store.Close()
	quarantined, err := consensus.Quarantine(v.config.StorePath)
	slog.Error("group: voter file stale, quarantined", "quarantined", quarantined)
	v.machine = nil
	if err == nil {
		err = v.openStore()
	}
	if err != nil {
		slog.Error("group: voter failed", "err", err)
		v.cancel()
		return
	}
	// The others learn the new ID from the handshake of a new connection.
	for _, l := range v.links {
		if l.conn != nil {
			l.conn.Close()
		}
	}
}
