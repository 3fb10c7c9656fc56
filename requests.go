package piernotch

import (
	"time"

	"piernotch/internal/decision/admission"
	"piernotch/internal/decision/lanes"
)

// requestTable owns the records of the open requests: those that need a final response or have attempts in
// flight. It reuses the records of finished ones, so that a request costs no allocation.
type requestTable struct {
	open []*openRequest // in no particular order
	byID map[RequestID]*openRequest
	free []*openRequest // for reuse
}

func newRequestTable() requestTable { return requestTable{byID: map[RequestID]*openRequest{}} }

// find returns the record of an open request, or nil.
func (t *requestTable) find(id RequestID) *openRequest { return t.byID[id] }

// add opens a record for a request. Its id must not be that of an open one.
func (t *requestTable) add(arrival Request, class *Class) *openRequest {
	var added *openRequest
	if count := len(t.free); count > 0 {
		added = t.free[count-1]
		t.free = t.free[:count-1]
	} else {
		added = &openRequest{}
	}
	*added = openRequest{
		Request: arrival, class: class, openIndex: len(t.open), attempts: added.attempts[:0],
	}
	t.open = append(t.open, added)
	t.byID[arrival.ID] = added
	return added
}

// releaseIfFinished drops a request's record once it is done and has no attempt in flight.
func (t *requestTable) releaseIfFinished(r *openRequest) {
	if !r.done || r.inflight > 0 {
		return
	}
	last := t.open[len(t.open)-1]
	t.open[r.openIndex], last.openIndex = last, r.openIndex
	t.open = t.open[:len(t.open)-1]
	delete(t.byID, r.ID)
	t.free = append(t.free, r)
}

// openRequest is a client's request until it has its final response and no attempt is in flight. Only its
// methods and the request table change the fields from attempts on.
type openRequest struct {
	Request
	class         *Class
	priority      admission.Band
	work          float64 // expected, ms
	lane          lanes.Lane
	objective     time.Duration // clock time: the class's objective, or the deadline if that is sooner
	queueDeadline time.Duration // clock time of the last dispatch: half of the time that its client waits

	attempts  []attempt // in sending order
	inflight  int       // attempts that have not ended
	hedged    bool      // a hedged attempt has been sent
	done      bool      // needs no response any more
	streaming bool      // a response is being forwarded
	openIndex int       // in requestTable.open
}

// attempt is one sending of a request to a server.
type attempt struct {
	server *server
	sentAt time.Duration
	warm   bool // the server was, at sentAt
	ended  bool
	status Status // once ended
}

// mayHaveExecuted reports whether nothing proves that the server did not execute the attempt.
func (a *attempt) mayHaveExecuted() bool { return !a.ended || !a.status.NeverExecuted() }

// place returns the request's place in the order of dispatch.
func (r *openRequest) place() admission.Place {
	return admission.Place{Band: r.priority, Arrival: uint64(r.ID)}
}

// waiting reports whether the request waits to be dispatched.
func (r *openRequest) waiting() bool { return !r.done && !r.streaming && r.inflight == 0 }

// needsResponse reports whether the request still needs a response and none is being forwarded.
func (r *openRequest) needsResponse() bool { return !r.done && !r.streaming }

// markDone records that the request needs no response any more.
func (r *openRequest) markDone() { r.done = true }

// markStreaming records that a response is being forwarded.
func (r *openRequest) markStreaming() { r.streaming = true }

// markHedged records that a hedged attempt has been sent.
func (r *openRequest) markHedged() { r.hedged = true }

// attemptStarted records an attempt that goes to the server now.
func (r *openRequest) attemptStarted(now time.Duration, target *server) {
	r.attempts = append(r.attempts, attempt{server: target, sentAt: now, warm: target.warm()})
	r.inflight++
}

// attemptEnded records the end of an open attempt.
func (r *openRequest) attemptEnded(attemptNumber int, status Status) *attempt {
	ended := &r.attempts[attemptNumber]
	ended.ended, ended.status = true, status
	r.inflight--
	return ended
}

// findAttempt returns the attempt of that number, or nil.
func (r *openRequest) findAttempt(attemptNumber int) *attempt {
	if attemptNumber < 0 || attemptNumber >= len(r.attempts) {
		return nil
	}
	return &r.attempts[attemptNumber]
}

// findOpenAttempt returns the attempt of that number unless it has ended, or nil.
func (r *openRequest) findOpenAttempt(attemptNumber int) *attempt {
	found := r.findAttempt(attemptNumber)
	if found == nil || found.ended {
		return nil
	}
	return found
}

// attemptedOn reports whether an attempt has gone to the server.
func (r *openRequest) attemptedOn(target *server) bool {
	for i := range r.attempts {
		if r.attempts[i].server == target {
			return true
		}
	}
	return false
}

// firstMaybeExecuted returns the first attempt that may have executed, or nil.
func (r *openRequest) firstMaybeExecuted() *attempt {
	for i := range r.attempts {
		if candidate := &r.attempts[i]; candidate.mayHaveExecuted() {
			return candidate
		}
	}
	return nil
}

// mayRepeatOn reports whether a request that may have executed in an earlier attempt may also go to the
// server. The transit there, half of the fastest response's latency, must end within the deduplication
// window.
func (r *openRequest) mayRepeatOn(now time.Duration, earlier *attempt, target *server) bool {
	windowClosed := now+target.path.Transit() > earlier.sentAt+r.class.DedupWindow
	switch {
	case r.class.RetrySafety == Idempotent:
		return true
	case r.class.RetrySafety == NonIdempotent, windowClosed:
		return false
	case r.class.DedupScope == DedupInZone:
		return target.Zone == earlier.server.Zone
	case r.class.DedupScope == DedupInCell:
		return target.Cell == earlier.server.Cell
	}
	return true
}

// mayWriteAttempt reports whether no other attempt that may have executed forbids that this one is written
// now. Later ones count, too: the one that waited for a connection is then the repeat.
func (r *openRequest) mayWriteAttempt(now time.Duration, attemptNumber int) bool {
	target := r.attempts[attemptNumber].server
	for i := range r.attempts {
		other := &r.attempts[i]
		if i != attemptNumber && other.mayHaveExecuted() && !r.mayRepeatOn(now, other, target) {
			return false
		}
	}
	return true
}

// repeatIsHarmless reports whether the client may send the request again to any balancer and server: it was
// not executed, or executing it again has no effect.
func (r *openRequest) repeatIsHarmless() bool {
	deduplicated := r.class.RetrySafety == IdempotencyKey && r.class.DedupScope == DedupEverywhere
	return r.firstMaybeExecuted() == nil || r.class.RetrySafety == Idempotent || deduplicated
}
