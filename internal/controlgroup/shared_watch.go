package controlgroup

// SharedWatch is a balancer's access to a shared watch: one balancer, the holder of the watch's
// duty, polls discovery for all. The methods do not block and are safe for concurrent use.
type SharedWatch interface {
	// ShouldPoll reports whether this balancer must itself poll the discovery at address source now
	// (poll), and whether that poll must request the complete list (complete).
	ShouldPoll(source string) (poll, complete bool)
	// Publish takes the result of this balancer's own poll. The group receives it once this balancer holds
	// the watch's duty.
	Publish(WatchEvent)
	// PollFailed records a failure of this balancer's own poll. A holder of the watch's duty that has already
	// published then releases the duty.
	PollFailed()
	// RequestUpdate asks the group for the events after version, the last that this balancer has.
	RequestUpdate(source string, version uint64)
}

// JoinWatch joins a balancer to the shared watch of the discovery at address source. onUpdate receives
// the events that other balancers publish. JoinWatch returns nil if Config.WatchDuty is empty.
type JoinWatch func(source string, onUpdate OnUpdate) SharedWatch

// OnUpdate receives an event, or a heartbeat, of another balancer. The group's goroutines call it with locks
// held: it must not block, and would deadlock if it called the SharedWatch.
type OnUpdate func(WatchEvent)

// WatchEvent is a complete endpoint list, a change to one, or a heartbeat. It is part of the frames that
// members exchange, so the CBOR keys must not change.
type WatchEvent struct {
	// Source is discovery's address or common name. Only versions of the same source can be compared.
	Source      string `cbor:"1,keyasint"`
	FromVersion uint64 `cbor:"2,keyasint,omitempty"` // the version that a change applies to; 0 for a complete list
	ToVersion   uint64 `cbor:"3,keyasint"`           // the version after the event; equal to FromVersion in a heartbeat
	Complete    bool   `cbor:"4,keyasint,omitempty"` // Body is a complete list
	Body        []byte `cbor:"5,keyasint,omitempty"` // the list or change as discovery wrote it; nil in a heartbeat
}

// IsHeartbeat reports whether an event only shows that the holder's watch is healthy.
func (e *WatchEvent) IsHeartbeat() bool { return !e.Complete && e.FromVersion == e.ToVersion }

// Follows compares an event with the known version of a source. It reports whether the event is the next
// one to apply (apply), or shows that earlier events were missed (missing). Both are false for an event of
// another source and for one that is not newer than version, except a complete list of exactly that version.
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
