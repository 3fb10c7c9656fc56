package discovery

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"piernotch"
	"piernotch/internal/controlgroup"
	"piernotch/internal/http1"
	"piernotch/internal/serve/core"
	"piernotch/internal/serve/eventloop"
)

const (
	// watchWait is how long the service may hold a poll if nothing changes.
	watchWait = 5 * time.Second

	// silenceGrace is how long the watcher waits for a response beyond watchWait. The service
	// counts a change as delivered two seconds after the end of the wait of the poll that should
	// have delivered it. The polls that replace a silent one must have a response by then.
	silenceGrace = time.Second

	// replacementWait is how long the service may hold a poll that replaces a silent one. Such a
	// poll only has to show whether the service responds.
	replacementWait = 250 * time.Millisecond

	// slowServiceTimeout is the timeout of polls for the complete list and of the last replacement.
	// A service with too many callers abandons each call after 3 s; repeating the poll earlier
	// would only add to its load.
	slowServiceTimeout = 3500 * time.Millisecond

	dialTimeout = time.Second

	// minPollInterval is the least time from a poll to the one that follows its response, so that a
	// service that responds at once without a change is not polled in a busy loop. It is well below
	// the 200 ms within which the service counts a watch as continuing.
	minPollInterval = 100 * time.Millisecond

	// sharedRecheckInterval is the interval at which a balancer checks whether another one still
	// polls for it.
	sharedRecheckInterval = 50 * time.Millisecond

	// restartDelay is the time from a failure to the next poll of a watch that restarts by itself.
	// It is short because the service that pushes the list is near, and counts a change as
	// delivered once the change is sent.
	restartDelay = 200 * time.Millisecond
)

// replacementTimeouts are the timeouts of the successive polls that replace a silent one, unless
// they request the complete list. After the last the watch fails. The first is short enough for
// another poll before the service counts a change as delivered. The second is longer: a service
// that does not respond to the silent poll or its first replacement may be slow rather than silent.
var replacementTimeouts = [...]time.Duration{time.Second, slowServiceTimeout}

var (
	errUnsolicitedData = errors.New("data received while no response was due")
	errClosedByServer  = errors.New("closed by the discovery service")
	errWatchTimeout    = errors.New("watch timed out")
)

// Watcher watches the endpoint list. Its methods must be called on the loop's owning goroutine.
type Watcher struct {
	loop    *eventloop.Loop
	emit    func(core.Event)
	now     func() time.Duration
	address string
	zones   []string

	maxListSize  int    // of a complete list or a change, in bytes
	version      uint64 // generation of the last known list
	needsReset   bool   // the known version cannot be continued, so the next poll requests the complete list
	restarts     bool   // a failed watch restarts by itself; otherwise the balancer calls Watch
	active       bool   // a poll is in flight, being dialed or scheduled
	replacements int    // number of consecutive replacements of a silent poll
	lastPollAt   time.Duration
	appliedAt    time.Duration // when a list was last applied; 0: never
	respondedAt  time.Duration // when the service last sent a list; initially the Watcher's creation
	failures     int           // failures of the watch since respondedAt
	nextPollAt   time.Duration // 0: no poll is scheduled
	pollDeadline time.Duration // when the active poll times out
	lastQuery    query         // query of the last poll that was sent

	connection *connection // nil: none, or being dialed
	epoch      int         // counts moves and replacements; dials of earlier epochs are ignored

	shared controlgroup.SharedWatch // nil: this balancer polls for itself alone
}

// Options configures a Watcher. Only Zones and Version may be zero.
type Options struct {
	Loop    *eventloop.Loop
	Emit    func(core.Event)     // receives events on the loop's owning goroutine
	Now     func() time.Duration // the clock of the core
	Address string               // of the discovery service
	Zones   []string             // see Parse
	Version uint64               // generation of the known list; 0: none

	MaxListSize int // see SetMaxListSize
}

// New returns a Watcher that does not poll until Watch, WatchWithRestarts or Move is called.
func New(options Options) *Watcher {
	return &Watcher{
		loop:        options.Loop,
		emit:        options.Emit,
		now:         options.Now,
		address:     options.Address,
		zones:       options.Zones,
		version:     options.Version,
		maxListSize: options.MaxListSize,
		respondedAt: options.Now(),
	}
}

// SetMaxListSize sets the largest endpoint list that is accepted, in bytes. It applies to new connections.
func (w *Watcher) SetMaxListSize(bytes int) { w.maxListSize = bytes }

// Version returns the generation of the last known list.
func (w *Watcher) Version() uint64 { return w.version }

// ListAge returns the time since the discovery service last sent a list. In an open watch without
// changes it grows up to the time for which the service may hold a poll.
func (w *Watcher) ListAge() time.Duration { return w.now() - w.respondedAt }

// Resume continues from the version that another watcher knew. If sameService is false, that is a
// version of another discovery service, and the next poll requests the complete list.
func (w *Watcher) Resume(version uint64, sameService bool) {
	w.version = version
	w.needsReset = !sameService
}

// WatchWithRestarts starts the watch, and makes it restart by itself whenever it fails.
func (w *Watcher) WatchWithRestarts() {
	w.restarts = true
	w.Watch()
}

// Watch starts the watch, unless it is active.
func (w *Watcher) Watch() {
	if w.active {
		return
	}
	w.active = true
	due := w.lastPollAt + minPollInterval
	if w.now() < due {
		w.schedulePoll(due)
		return
	}
	w.poll()
}

// Move ends the watch and starts one at another address. It requests the complete list, because
// each service has its own versions. Late responses from the old address are ignored.
func (w *Watcher) Move(address string) {
	w.disconnect()
	w.epoch++
	w.address = address
	w.needsReset = true
	w.active = false
	w.replacements = 0
	w.lastPollAt = 0
	w.Watch()
}

// Tick must be called once per core.TickInterval. It sends scheduled polls and handles polls that
// time out. If the machine of the service fails, the connection stays half-open and silent. If only
// the connection was lost, the service soon counts changes as delivered that the watch has missed.
// A poll that times out is therefore repeated at once on a new connection.
func (w *Watcher) Tick() {
	if w.nextPollAt > 0 && w.now() >= w.nextPollAt {
		w.poll()
	}
	if !w.active || w.now() <= w.pollDeadline {
		return
	}
	slog.Warn("watch timeout", "address", w.address, "generation", w.version, "replacements", w.replacements,
		"list_age_ms", w.ListAge().Milliseconds())
	w.replaceOrFail(errWatchTimeout)
}

// replaceOrFail repeats the poll in flight on a new connection, or fails the watch if all
// replacements are used up.
func (w *Watcher) replaceOrFail(err error) {
	if w.replacements >= len(replacementTimeouts) {
		w.fail(err)
		return
	}
	w.replacements++
	w.disconnect()
	w.epoch++ // ignore a dial that is still in progress
	w.poll()
}

// connectionFailed handles a lost connection or a failed dial of the poll in flight. A replacement
// is repeated at once, because the silence before it has left no time to wait. Otherwise the watch
// fails.
func (w *Watcher) connectionFailed(err error) {
	if w.replacements > 0 {
		w.replaceOrFail(err)
		return
	}
	w.fail(err)
}

// schedulePoll makes Tick send the next poll at the given time.
func (w *Watcher) schedulePoll(at time.Duration) {
	w.active = true
	w.nextPollAt = at
	w.pollDeadline = at + dialTimeout + w.pollTimeout()
}

// poll sends a poll on the open connection or on a new one. If another balancer polls for this one,
// it only schedules the next check of whether that is still so.
func (w *Watcher) poll() {
	if w.shared != nil {
		pollHere, complete := w.shared.ShouldPoll(w.address)
		if !pollHere {
			w.schedulePoll(w.now() + sharedRecheckInterval)
			return
		}
		w.needsReset = w.needsReset || complete
	}
	w.nextPollAt = 0
	w.lastPollAt = w.now()
	if w.failures > 0 {
		slog.Info("discovery polled again", "address", w.address, "generation", w.version, "failures", w.failures,
			"list_age_ms", w.ListAge().Milliseconds())
	}
	w.pollDeadline = w.lastPollAt + dialTimeout + w.pollTimeout()
	if w.connection != nil {
		w.writePoll()
		return
	}
	w.dial()
}

// dial opens a connection and sends the poll on it.
func (w *Watcher) dial() {
	dialed := &connection{watcher: w, parser: http1.NewResponseParser(w.maxListSize)}
	epoch := w.epoch
	opened := func(socket *eventloop.Conn) eventloop.Handler {
		dialed.socket = socket
		socket.Prioritize()
		return dialed
	}
	done := func(socket *eventloop.Conn, err error) {
		switch {
		case w.epoch != epoch: // the watch has moved or the poll was replaced
			if err == nil {
				socket.Close()
			}
		case err != nil:
			w.connectionFailed(err)
		default:
			w.connection = dialed
			w.writePoll()
		}
	}
	target := eventloop.Target{Address: w.address, Timeout: dialTimeout, Kind: eventloop.ReservedDial}
	w.loop.Dial(target, opened, done)
}

// writePoll sends the poll's request on the open connection.
func (w *Watcher) writePoll() {
	w.pollDeadline = w.now() + w.pollTimeout()
	w.lastQuery = w.pollQuery()
	w.connection.writePoll(w.address, w.lastQuery)
}

func (w *Watcher) pollQuery() query {
	wait := watchWait
	if w.replacements > 0 {
		wait = replacementWait
	}
	return query{version: w.version, complete: w.needsReset, wait: wait}
}

// pollTimeout returns the time without a response after which the next poll counts as silent.
func (w *Watcher) pollTimeout() time.Duration {
	switch {
	case w.needsReset:
		return slowServiceTimeout
	case w.replacements > 0:
		return replacementTimeouts[w.replacements-1]
	}
	return watchWait + silenceGrace
}

// fail ends the watch. The balancer decides when to start it again, unless it restarts by itself.
func (w *Watcher) fail(err error) {
	w.failures++
	slog.Warn("discovery failed", "address", w.address, "generation", w.version, "failures", w.failures,
		"list_age_ms", w.ListAge().Milliseconds(), "err", err)
	w.active = false
	w.nextPollAt = 0
	w.replacements = 0
	if w.shared != nil {
		w.shared.PollFailed()
	}
	w.disconnect()
	w.emit(core.EndpointUpdate{Kind: piernotch.UpdateFailed})
	if w.restarts && !w.active {
		w.schedulePoll(w.now() + restartDelay)
	}
}

// disconnect closes the connection, if there is one.
func (w *Watcher) disconnect() {
	if w.connection != nil {
		w.connection.socket.Close()
		w.connection = nil
	}
}

// responseDue reports whether a poll is in flight or being dialed.
func (w *Watcher) responseDue() bool { return w.active && w.nextPollAt == 0 }

// responseReceived handles the response to the poll in flight, and starts the next poll.
func (w *Watcher) responseReceived(response *http1.Message) {
	if response.Status != http1.StatusOK {
		w.fail(fmt.Errorf("status %d", response.Status))
		return
	}
	list, err := Parse(response.Body, w.zones)
	if err != nil {
		w.fail(err)
		return
	}
	w.recordResponse()
	if !w.lastQuery.complete && list.Generation < w.lastQuery.version {
		w.requestCompleteList(list.Generation)
		return
	}
	if w.shared != nil {
		w.publish(list, response.Body)
	}
	// The response may be older than a list that another balancer published while the poll was in
	// flight.
	outdated := w.shared != nil && !list.Reset && list.Generation < w.version
	if !outdated {
		w.apply(list)
	}
	w.active = false
	w.replacements = 0
	if response.Close {
		w.disconnect()
	}
	w.Watch()
}

// requestCompleteList polls for the complete list on a new connection. It is called instead of
// applying a list that is older than the version in the poll: either the list is a second response
// to an earlier poll, or the service has lost its versions.
func (w *Watcher) requestCompleteList(generation uint64) {
	slog.Warn("outdated list", "address", w.address, "generation", w.lastQuery.version,
		"received_generation", generation)
	w.needsReset = true
	w.disconnect()
	w.active = false
	w.replacements = 0
	w.Watch()
}

// recordResponse records that the service has sent a list, and logs the recovery if the watch had
// failed.
func (w *Watcher) recordResponse() {
	if w.failures > 0 {
		slog.Info("discovery recovered", "address", w.address, "failures", w.failures,
			"list_age_ms", w.ListAge().Milliseconds())
	}
	w.respondedAt = w.now()
	w.failures = 0
}

// apply passes a list to the core. The update's Since is the time at which the previous list was
// applied: the changes in this list had not been listed by then.
func (w *Watcher) apply(list EndpointList) {
	since := w.appliedAt
	w.appliedAt = w.now()
	w.version = list.Generation
	w.needsReset = w.needsReset && !list.Reset
	kind := piernotch.UpdateDelta
	if list.Reset {
		kind = piernotch.UpdateFull
	}
	for _, endpoint := range list.Endpoints {
		slog.Info("endpoint update", "server", endpoint.Name, "address", endpoint.Address,
			"state", endpoint.Endpoint.State, "generation", w.version)
	}
	w.emit(core.EndpointUpdate{Kind: kind, Endpoints: list.Endpoints, Since: since})
}
