package controlgroup

// SharedWatch is a balancer's part in a watch of discovery that one balancer, the holder of the
// watch's duty, polls for all. Its methods do not block and may be called from any goroutine.
type SharedWatch interface {
	// ShouldPoll reports whether this balancer, which uses the discovery at source, polls it itself
	// now (poll), and whether it has to request the complete list (complete).
	ShouldPoll(source string) (poll, complete bool)
	// Publish passes an update that this balancer's own poll returned on to the group.
	Publish(WatchEvent)
	// PollFailed records that this balancer's own poll failed.
	PollFailed()
	// RequestUpdate requests from the group the events after the version that is known here.
	RequestUpdate(source string, version uint64)
}

// JoinWatch begins a balancer's part in the shared watch of the discovery at address source. onUpdate
// receives what other balancers publish. JoinWatch returns nil if the group has no shared watch.
type JoinWatch func(source string, onUpdate OnUpdate) SharedWatch

// OnUpdate receives an update that another balancer has published. It is called from the group's goroutines
// with locks held: it must neither block nor call the SharedWatch.
type OnUpdate func(WatchEvent)

// WatchEvent is a complete endpoint list, a change of one, or a heartbeat. The list itself is as discovery
// wrote it. The encoding is that of the frames between members: the keys do not change.
type WatchEvent struct {
	// Source is discovery's address or common name: versions are comparable only within one.
	Source      string `cbor:"1,keyasint"`
	FromVersion uint64 `cbor:"2,keyasint,omitempty"` // the version that a change applies to; 0 for a complete list
	ToVersion   uint64 `cbor:"3,keyasint"`           // the version after the event; equal to FromVersion in a heartbeat
	Complete    bool   `cbor:"4,keyasint,omitempty"` // Body is a complete list
	Body        []byte `cbor:"5,keyasint,omitempty"` // the list or change in discovery's own form; nil in a heartbeat
}

// IsHeartbeat reports whether an event says only that the holder's watch is healthy.
func (e *WatchEvent) IsHeartbeat() bool { return !e.Complete && e.FromVersion == e.ToVersion }

// Follows reports how an event relates to a known version of a source: whether it applies next
// (apply), or shows that events before it were missed (missing). Both are false for an event of another
// source, and for one that is not newer than what is known.
func (e *WatchEvent) Follows(source string, version uint64) (apply, missing bool) {
	if e.Source != source {
		return false, false
	}
	newer := e.ToVersion > version
	switch {
	case e.Complete:
		return e.ToVersion >= version, false
	case !newer:
		return false, false
	case e.IsHeartbeat():
		return false, true
	}
	return e.FromVersion == version, e.FromVersion != version
}
