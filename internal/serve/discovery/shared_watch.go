package discovery

import (
	"log/slog"

	"piernotch/internal/controlgroup"
)

// UseSharedWatch has the watcher poll only when the group has it do so, and publish
// what its polls bring. nil: it polls for itself alone.
func (w *Watcher) UseSharedWatch(shared controlgroup.SharedWatch) { w.shared = shared }

// ReceiveShared takes a list that another balancer polled and published. One that
// is older than what is known is ignored; one that does not follow what is known
// makes the watcher request an update from the group. UseSharedWatch must have
// been called with a group.
func (w *Watcher) ReceiveShared(event controlgroup.WatchEvent) {
	apply, missing := event.Follows(w.address, w.version)
	if w.needsReset && event.Source == w.address {
		// The known version is one of another service: only a complete list can be applied.
		apply = event.Complete
		missing = !event.Complete
	}
	if missing {
		w.requestUpdate()
	}
	if !apply {
		return
	}
	list, err := Parse(event.Body, w.zones)
	if err != nil {
		slog.Warn("shared endpoint update rejected", "generation", event.ToVersion, "err", err)
		return
	}
	w.apply(list)
}

// requestUpdate requests from the group what follows the known version.
func (w *Watcher) requestUpdate() {
	known := w.version
	if w.needsReset {
		known = 0
	}
	w.shared.RequestUpdate(w.address, known)
}

// publish passes a list on to the group in the form that it was received in. It
// must be called before the list is applied.
func (w *Watcher) publish(list EndpointList, body []byte) {
	event := controlgroup.WatchEvent{
		Source:      w.address,
		FromVersion: w.version,
		ToVersion:   list.Generation,
		Complete:    list.Reset,
		Body:        body,
	}
	if list.Reset {
		event.FromVersion = 0
	}
	w.shared.Publish(event)
}
