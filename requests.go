package piernotch

import (
	"time"

	"piernotch/internal/decision/admission"
	"piernotch/internal/decision/lanes"
)

// requestTable holds the records of the open requests: those that need a final response or have attempts in
// flight. It reuses the records of finished requests, so that a new request usually needs no allocation.
type requestTable struct {
	open []*openRequest // in no particular order
	byID map[RequestID]*openRequest
	free []*openRequest // for reuse
}

func newRequestTable() requestTable { return requestTable{byID: map[RequestID]*openRequest{}} }

// find returns the record of an open request, or nil.
func (t *requestTable) find(id RequestID) *openRequest { return t.byID[id] }

// add opens a record for a request, whose ID must differ from those of all open requests.
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

// releaseIfFinished removes a request's record if the request is done and has no attempt in flight.
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

// openRequest is the record of an open request. Only its methods and requestTable change the fields from
// attempts to openIndex.
type openRequest struct {
	Request
	class         *Class
	priority      admission.Band
	work          float64 // expected, ms
	lane          lanes.Lane
	objective     time.Duration // clock time of the latency objective, or of the deadline if that is earlier
	queueDeadline time.Duration // latest clock time of dispatch: halfway from the arrival to the deadline

	attempts  []attempt // in sending order
	inflight  int       // attempts that have not ended
	hedged    bool      // a hedged attempt has been sent
	done      bool      // needs no further response
	streaming bool      // a response is being forwarded
	openIndex int       // in requestTable.open
}

// attempt is an entry of openRequest.attempts. Its index there is the attempt number.
type attempt struct {
	server *server
	sentAt time.Duration
	warm   bool // the server was warm at sentAt
	ended  bool
	status Status // valid once ended
}

// mayHaveExecuted reports whether the server may have executed the attempt: the attempt is in flight, or its
// status does not rule out execution.
func (a *attempt) mayHaveExecuted() bool { return !a.ended || !a.status.NeverExecuted() }

// place returns the request's place in the order of dispatch, for admission.Controller.Precedes.
func (r *openRequest) place() admission.Place {
	return admission.Place{Band: r.priority, Arrival: uint64(r.ID)}
}

// waiting reports whether the request waits to be dispatched: it needs a response, none is being forwarded,
// and no attempt is in flight.
func (r *openRequest) waiting() bool { return !r.done && !r.streaming && r.inflight == 0 }

// needsResponse reports whether the request still needs a response and none is being forwarded.
func (r *openRequest) needsResponse() bool { return !r.done && !r.streaming }

func (r *openRequest) markDone() { r.done = true }

func (r *openRequest) markStreaming() { r.streaming = true }

func (r *openRequest) markHedged() { r.hedged = true }

func (r *openRequest) attemptStarted(now time.Duration, target *server) {
	r.attempts = append(r.attempts, attempt{server: target, sentAt: now, warm: target.warm()})
	r.inflight++
}

// attemptEnded records the end of an attempt in flight, and returns the attempt.
func (r *openRequest) attemptEnded(attemptNumber int, status Status) *attempt {
	ended := &r.attempts[attemptNumber]
	ended.ended, ended.status = true, status
	r.inflight--
	return ended
}

// findAttempt returns the attempt with that number, or nil.
func (r *openRequest) findAttempt(attemptNumber int) *attempt {
	if attemptNumber < 0 || attemptNumber >= len(r.attempts) {
		return nil
	}
	return &r.attempts[attemptNumber]
}

// findOpenAttempt returns the attempt with that number, or nil if there is no such attempt or it has ended.
func (r *openRequest) findOpenAttempt(attemptNumber int) *attempt {
	found := r.findAttempt(attemptNumber)
	if found == nil || found.ended {
		return nil
	}
	return found
}

// attemptedOn reports whether an attempt of the request has been sent to the server.
func (r *openRequest) attemptedOn(target *server) bool {
	for i := range r.attempts {
		if r.attempts[i].server == target {
			return true
		}
	}
	return false
}

// firstMaybeExecuted returns the earliest attempt that its server may have executed, or nil.
func (r *openRequest) firstMaybeExecuted() *attempt {
	for i := range r.attempts {
		if candidate := &r.attempts[i]; candidate.mayHaveExecuted() {
			return candidate
		}
	}
	return nil
}

// mayRepeatOn reports whether a request that may have executed in an earlier attempt may also be sent to the
// server. With an idempotency key, the repeat must stay in the deduplication scope and arrive within the
// window; the transit time is taken as half of the lowest latency of a response from the server's zone.
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

// mayWriteAttempt reports whether an attempt may be written now, given the other attempts that may have
// executed. Attempts that started later count, too: if they were written first, this attempt is the repeat.
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

// repeatIsHarmless reports whether the client can safely send the request again, through any balancer to any
// server: the request was certainly not executed, is idempotent, or is deduplicated by all servers.
func (r *openRequest) repeatIsHarmless() bool {
	deduplicated := r.class.RetrySafety == IdempotencyKey && r.class.DedupScope == DedupEverywhere
	return r.firstMaybeExecuted() == nil || r.class.RetrySafety == Idempotent || deduplicated
}
