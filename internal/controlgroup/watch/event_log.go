package watch

import (
	"errors"

	"piernotch/internal/controlgroup"
	"piernotch/internal/controlgroup/lease"
)

// Limits of an EventLog.
const (
	MaxBodySize = 512 << 10 // bytes of one event's Body
	maxChanges  = 256       // events after the complete list
)

// Errors of EventLog.Append.
var (
	ErrStaleToken = errors.New("stale token: a later lease holder has published")
	ErrVersionGap = errors.New("version gap: a complete list is required first")
	ErrTooLarge   = errors.New("event exceeds 512 KiB")
)

// EventLog is a complete list and the changes to it, with the token under which the last of them was published.
// The zero value is empty. A group's leader keeps one log for each duty; each balancer that polls discovery keeps
// one for its own polls.
type EventLog struct {
	token   lease.Token
	source  string
	version uint64
	events  []controlgroup.WatchEvent // the first is a complete list
}

// Append adds an event that was published under a token. A complete list replaces the log; a change must apply
// to the log's version. A heartbeat must be of that version, and only updates the token. On an error the log is
// unchanged: ErrStaleToken means that the event is older than the log, ErrVersionGap that a complete list must come
// first, and ErrTooLarge that the body exceeds MaxBodySize.
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

// replace starts a new log with a complete list. Under the same token, an older version of the same source is
// rejected.
func (l *EventLog) replace(token lease.Token, event controlgroup.WatchEvent) error {
	if token == l.token && event.Source == l.source && event.ToVersion < l.version {
		return ErrStaleToken
	}
	l.token = token
	l.source = event.Source
	l.version = event.ToVersion
	l.events = []controlgroup.WatchEvent{event} // not the old array: callers of Since may still use it
	return nil
}

// Since returns the events after a version of a source, or the whole log if that version is not in it. The caller
// must not modify the result.
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

// Token returns the token under which the last event was published, or 0 if there is no event.
func (l *EventLog) Token() lease.Token { return l.token }

// Version returns the source and version of the log's last event, and whether there is any event.
func (l *EventLog) Version() (source string, version uint64, hasEvents bool) {
	return l.source, l.version, len(l.events) > 0
}
