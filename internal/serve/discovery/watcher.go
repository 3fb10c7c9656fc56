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
	// watchWait is how long the service may hold a poll without a change.
	watchWait = 5 * time.Second

	// silenceGrace is how much longer than watchWait the service may be silent. The
	// service counts a change as delivered two seconds after the wait of the poll that
	// should have brought it, so the polls that replace a silent one must have a
	// response by then.
	silenceGrace = time.Second

	// replacementWait is how long the service may hold a poll that replaces a silent
	// one: such a poll only has to show whether the service responds.
	replacementWait = 250 * time.Millisecond

	// crowdedTimeout bounds a poll to which the service responds at once. One that has
	// too many callers gives each up after 3 s; to ask again before that would only
	// add to its callers.
	crowdedTimeout = 3500 * time.Millisecond

	dialTimeout = time.Second

	// minPollInterval is the least time between two polls: a service that responds
	// at once without a change must not be polled in a busy loop. It stays well
	// under the 200 ms within which the service counts a watch as continuing.
	minPollInterval = 100 * time.Millisecond

	// sharedRecheckInterval is how often a balancer for which another one polls
	// checks whether that is still so.
	sharedRecheckInterval = 50 * time.Millisecond

	// restartDelay is the time from a failure to the next poll of a watch that
	// restarts by itself. It is short: the service that pushes the list is near,
	// and counts a change as delivered when it was sent.
	restartDelay = 200 * time.Millisecond
)

// replacementTimeouts are after what time the polls that replace a silent one, in turn,
// count as silent, too. Behind the last the watch fails. The first leaves time for
// another before the service counts a change as delivered; if that one has no response
// either, the service may be slow and not silent.
var replacementTimeouts = [...]time.Duration{time.Second, crowdedTimeout}

var (
	errUnsolicitedData = errors.New("data received while no response was due")
	errClosedByServer  = errors.New("closed by the discovery service")
	errWatchTimeout    = errors.New("watch timed out")
)

// Watcher watches the endpoint list. It must be used on the event loop's owning
// goroutine only.
type Watcher struct {
	loop    *eventloop.Loop
	emit    func(core.Event)
	now     func() time.Duration
	address string
	zones   []string

	version      uint64 // the last generation that is known
	needsReset   bool   // the next poll requests the complete list: the known version cannot be continued
	restarts     bool   // a failed watch restarts by itself; the balancer does not call Watch
	active       bool   // a poll is in flight, is being dialed or is scheduled
	replacements int    // how many polls in a row were replaced because the service was silent
	lastPollAt   time.Duration
	appliedAt    time.Duration // when a list was last applied; 0: none was
	respondedAt  time.Duration // when the service last sent a list; until then, when the Watcher was made
	failures     int           // since then
	nextPollAt   time.Duration // 0: no poll is scheduled
	pollDeadline time.Duration // when the poll in flight times out
	asked        query         // what the last poll that was written asked for

	connection *connection // nil: there is none, or it is being dialed
	epoch      int         // counts moves and replacements, to ignore dials of earlier ones

	shared controlgroup.SharedWatch // nil: this balancer polls for itself alone
}

// Options is what a Watcher works with. Only Version may be zero.
type Options struct {
	Loop    *eventloop.Loop
	Emit    func(core.Event)     // is handed events on the loop's owning goroutine
	Now     func() time.Duration // the clock of the core
	Address string               // of the discovery service
	Zones   []string             // see Parse
	Version uint64               // the generation of the list that is known; 0: none
}

// New returns a Watcher that does not watch yet.
func New(options Options) *Watcher {
	return &Watcher{
		loop:        options.Loop,
		emit:        options.Emit,
		now:         options.Now,
		address:     options.Address,
		zones:       options.Zones,
		version:     options.Version,
		respondedAt: options.Now(),
	}
}

// Version returns the last generation of the list that is known.
func (w *Watcher) Version() uint64 { return w.version }

// ListAge returns the time since the discovery service last sent a list. While a watch is open and nothing
// changes, that is up to the time that the service may hold a poll.
func (w *Watcher) ListAge() time.Duration { return w.now() - w.respondedAt }

// Resume continues from the version that another watcher knew. sameService
// reports whether it was a version of this discovery service; one of another
// service means nothing here.
func (w *Watcher) Resume(version uint64, sameService bool) {
	w.version = version
	w.needsReset = !sameService
}

// WatchWithRestarts starts the watch, and has it restart by itself from now on when it
// fails.
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

// Move ends the watch and starts one at another address. Its versions are its
// own, so the complete list is requested. Late responses from the old address are
// ignored.
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

// Tick must be called once per core.TickInterval. It makes scheduled polls and
// handles polls that time out: if the machine of the service fails, the connection
// stays open and silent. It may also be that only the connection was lost, and the
// service soon counts changes as delivered that the watch has missed. So a poll that
// times out is repeated at once on a new connection.
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

// replaceOrFail makes the poll in flight anew on a new connection, or fails the
// watch if that has been tried often enough.
func (w *Watcher) replaceOrFail(err error) {
	if w.replacements >= len(replacementTimeouts) {
		w.fail(err)
		return
	}
	w.replacements++
	w.disconnect()
	w.epoch++ // a dial that is still in progress is of no use any more
	w.poll()
}

// connectionFailed takes that the poll in flight has no connection, or none any more.
// Behind a silence there is no time left to wait before another try.
func (w *Watcher) connectionFailed(err error) {
	if w.replacements > 0 {
		w.replaceOrFail(err)
		return
	}
	w.fail(err)
}

// schedulePoll has Tick make the next poll at a time.
func (w *Watcher) schedulePoll(at time.Duration) {
	w.active = true
	w.nextPollAt = at
	w.pollDeadline = at + dialTimeout + w.pollTimeout()
}

// poll makes a poll on the open connection or on a new one. If another balancer
// polls for this one, that is checked again a little later instead.
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

// dial opens a connection and makes the poll on it.
func (w *Watcher) dial() {
	dialed := &connection{watcher: w, parser: http1.NewResponseParser(maxListSize)}
	epoch := w.epoch
	opened := func(socket *eventloop.Conn) eventloop.Handler {
		dialed.socket = socket
		socket.Prioritize()
		return dialed
	}
	done := func(socket *eventloop.Conn, err error) {
		switch {
		case w.epoch != epoch: // the watch has moved meanwhile
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

// writePoll writes the poll's request on the open connection.
func (w *Watcher) writePoll() {
	w.pollDeadline = w.now() + w.pollTimeout()
	w.asked = w.pollQuery()
	w.connection.writePoll(w.address, w.asked)
}

// pollQuery returns what the next poll asks for.
func (w *Watcher) pollQuery() query {
	wait := watchWait
	if w.replacements > 0 {
		wait = replacementWait
	}
	return query{version: w.version, complete: w.needsReset, wait: wait}
}

// pollTimeout returns after what time without a response the next poll counts as
// silent.
func (w *Watcher) pollTimeout() time.Duration {
	switch {
	case w.needsReset:
		return crowdedTimeout
	case w.replacements > 0:
		return replacementTimeouts[w.replacements-1]
	}
	return watchWait + silenceGrace
}

// fail ends the watch. The balancer decides when to start it again, unless it
// restarts by itself.
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

// responseDue reports whether a poll is in flight.
func (w *Watcher) responseDue() bool { return w.active && w.nextPollAt == 0 }

// responseReceived takes the response to the poll in flight, and makes the next
// poll.
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
	w.noteResponse()
	if !w.asked.complete && list.Generation < w.asked.version {
		w.requestCompleteList(list.Generation)
		return
	}
	if w.shared != nil {
		w.publish(list, response.Body)
	}
	// A poll that was in flight while another balancer's list arrived may bring an
	// older one.
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

// requestCompleteList polls anew, on a new connection, in place of applying a list that is older than the poll
// asked for: it is a second response to an earlier poll, or the service has lost its versions.
func (w *Watcher) requestCompleteList(generation uint64) {
	slog.Warn("outdated list", "address", w.address, "generation", w.asked.version, "received_generation", generation)
	w.needsReset = true
	w.disconnect()
	w.active = false
	w.replacements = 0
	w.Watch()
}

// noteResponse notes that the service has sent a list, and logs it if it had failed before.
func (w *Watcher) noteResponse() {
	if w.failures > 0 {
		slog.Info("discovery recovered", "address", w.address, "failures", w.failures,
			"list_age_ms", w.ListAge().Milliseconds())
	}
	w.respondedAt = w.now()
	w.failures = 0
}

// apply passes a list to the core. What it changes was not listed when the list before was applied.
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
