package discovery

import (
	"log/slog"

	"piernotch/internal/controlgroup"
)

// UseSharedWatch makes the watcher share its watch with a control group: it polls only when the
// group tells it to, and publishes the lists that its polls return. If shared is nil, the watcher
// polls for itself alone.
func (w *Watcher) UseSharedWatch(shared controlgroup.SharedWatch) { w.shared = shared }

// ReceiveShared applies a list that another balancer polled and published. Events from another
// address and outdated events are ignored (see WatchEvent.Follows). If a newer event does not follow
// the known version, the watcher requests an update from the group instead. If the known version
// cannot be continued, a complete list of any version is applied, and any other event from this
// address causes a request. UseSharedWatch must have been called with a group.
func (w *Watcher) ReceiveShared(event controlgroup.WatchEvent) {
	apply, missing := event.Follows(w.address, w.version)
	if w.needsReset && event.Source == w.address {
		// The known version cannot be continued, so only a complete list can be applied.
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

// requestUpdate requests from the group the changes after the known version, or the complete list
// if the known version cannot be continued.
func (w *Watcher) requestUpdate() {
	known := w.version
	if w.needsReset {
		known = 0
	}
	w.shared.RequestUpdate(w.address, known)
}

// publish publishes a list to the group in discovery's wire format. It must be called before the
// list is applied, because the event's FromVersion is the version known until then.
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
