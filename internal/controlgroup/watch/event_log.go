package watch

import (
	"errors"

	"piernotch/internal/controlgroup"
	"piernotch/internal/controlgroup/lease"
)

// Bounds of an EventLog.
const (
	MaxBodySize = 512 << 10 // bytes of one event
	maxChanges  = 256       // events after the complete list
)

// Errors of EventLog.Append.
var (
	ErrStaleToken = errors.New("stale token: a later lease holder has published")
	ErrVersionGap = errors.New("version gap: a complete list is required first")
	ErrTooLarge   = errors.New("event exceeds 512 KiB")
)

// EventLog is a complete list and the changes since, with the token of the holder that published them last. The
// zero value is empty. The leader of a group keeps one for each duty, and each balancer that polls discovery
// one of its own polls.
type EventLog struct {
	token   lease.Token
	source  string
	version uint64
	events  []controlgroup.WatchEvent // the first is a complete list
}

// Append adds an event that was published under a token. A complete list replaces the log; a change has to
// apply to the log's version. The error is ErrStaleToken for an event older than the log, ErrVersionGap if
// a complete list has to come first, and ErrTooLarge over MaxBodySize; the log is then as before.
func (l *EventLog) Append(token lease.Token, event controlgroup.WatchEvent) error {
	if token < l.token {
		return ErrStaleToken
	}
	if len(event.Body) > MaxBodySize {
		return ErrTooLarge
	}
	if event.Complete {
		return l.replace(token, event)
	}
	follows := len(l.events) > 0 && event.Source == l.source && event.FromVersion == l.version
	full := len(l.events) > maxChanges
	if !follows || full && !event.IsHeartbeat() {
		return ErrVersionGap
	}
	l.token = token
	l.version = event.ToVersion
	if !event.IsHeartbeat() {
		l.events = append(l.events, event)
	}
	return nil
}

// replace begins the log anew with a complete list, which a holder may not publish for an older version.
func (l *EventLog) replace(token lease.Token, event controlgroup.WatchEvent) error {
	if token == l.token && event.Source == l.source && event.ToVersion < l.version {
		return ErrStaleToken
	}
	l.token = token
	l.source = event.Source
	l.version = event.ToVersion
	l.events = []controlgroup.WatchEvent{event} // not the old array, of which Since has returned parts
	return nil
}

// Since returns the events after a version of a source, or the whole log if it does not know that
// version. The caller must not change them.
func (l *EventLog) Since(source string, version uint64) []controlgroup.WatchEvent {
	if source == l.source {
		for i, event := range l.events {
			if event.ToVersion == version {
				return l.events[i+1:]
			}
		}
	}
	return l.events
}

// Token returns the token under which the last event was published.
func (l *EventLog) Token() lease.Token { return l.token }

// Version returns the source and version that the log leads to, and whether it holds any event.
func (l *EventLog) Version() (source string, version uint64, hasEvents bool) {
	return l.source, l.version, len(l.events) > 0
}
