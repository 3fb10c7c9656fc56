package lease

import "time"

// RequestSeq numbers the requests of one Holder, from 1 on.
type RequestSeq uint64

// Request is what a Holder sends to the group: a command, or the renewal of what it holds.
type Request struct {
	Seq     RequestSeq // the response has to name it
	Renew   bool       // renew Command.Duty under Command.Token; Command.Op is not set
	Command Command
}

// Holder is one process's side of one duty: it decides when to acquire, renew and release, and whether the process
// may act. All times are the process's own monotonic clock's, which must not stop while the machine runs.
// It must not be used from two goroutines at once.
type Holder struct {
	timing  Timing
	process Process
	duty    Duty

	grant         Grant
	held          bool          // grant is in force until renewDeadline
	renewDeadline time.Duration // no act from then on
	released      bool          // the duty is not wanted any more

	lastSeq     RequestSeq
	pending     bool          // the request pendingSeq has no response yet
	pendingSeq  RequestSeq    // of the last request that NextRequest returned
	sentAt      time.Duration // when that was
	nextRequest time.Duration // no request before then
}

// NewHolder returns a Holder that wants the duty from now on and holds nothing yet.
func NewHolder(timing Timing, process Process, duty Duty) *Holder {
	return &Holder{timing: timing, process: process, duty: duty}
}

// NextRequest returns the request that has to be sent now, and whether there is one. Where another process
// holds the duty, the next attempt to acquire it comes after pause; the caller draws it at random, so that
// contenders do not all send at once.
func (h *Holder) NextRequest(now, pause time.Duration) (Request, bool) {
	h.checkDeadline(now)
	// A request without a response is repeated: every command may safely arrive twice.
	awaitsResponse := h.pending && now < h.sentAt+h.timing.retryPeriod()
	isDone := h.released && !h.held
	if awaitsResponse || now < h.nextRequest || isDone {
		return Request{}, false
	}
	request := h.newRequest()
	switch {
	case h.released:
		request.Command.Op = Release
		request.Command.Token = h.grant.Token
	case h.held:
		request.Renew = true
		request.Command.Token = h.grant.Token
	default:
		request.Command.Op = Acquire
	}
	h.pending = true
	h.pendingSeq = request.Seq
	h.sentAt = now
	h.nextRequest = now + pause
	return request, true
}

// newRequest returns a numbered request of this process for its duty.
func (h *Holder) newRequest() Request {
	h.lastSeq++
	return Request{Seq: h.lastSeq, Command: Command{Duty: h.duty, Process: h.process}}
}

// Transfer gives the duty to another process, and reports whether it was held. The holder stops acting at once; the
// returned request has to be sent, and its response may be ignored: if it is lost, the lease expires.
func (h *Holder) Transfer(now time.Duration, successor Process) (Request, bool) {
	h.checkDeadline(now)
	if !h.held {
		return Request{}, false
	}
	request := h.newRequest()
	request.Command.Op = Transfer
	request.Command.Token = h.grant.Token
	request.Command.Successor = successor
	h.held = false
	h.released = true
	h.pending = false
	return request, true
}

// Release gives the duty up for good. The holder stops acting at once; NextRequest returns the request that releases
// the lease at the group.
func (h *Holder) Release() {
	h.released = true
	h.pending = false
	h.nextRequest = 0
}

// RequestLost reports that there will be no response to a request: the next one may be sent at once, to another
// voter.
func (h *Holder) RequestLost(seq RequestSeq) {
	if h.pending && seq == h.pendingSeq {
		h.pending = false
		h.nextRequest = 0
	}
}

// RetryNow ends the pause before the next attempt to acquire the duty, because it may have come free.
func (h *Holder) RetryNow() {
	if !h.held && !h.pending {
		h.nextRequest = 0
	}
}

// ReleasePending reports whether the duty was given up, and the group has not confirmed that yet.
func (h *Holder) ReleasePending(now time.Duration) bool {
	h.checkDeadline(now)
	return h.released && h.held
}

// HandleResponse takes the group's response to the request seq; err is nil, ErrHeld or ErrNotHeld. A response
// to any but the last request is ignored. The renew deadline counts from when that request was sent, since its
// response may have been long on the way.
func (h *Holder) HandleResponse(now time.Duration, seq RequestSeq, grant Grant, err error) {
	if !h.pending || seq != h.pendingSeq {
		return
	}
	h.pending = false
	if h.released || err != nil {
		h.held = false
		return
	}
	h.grant = grant
	h.held = true
	h.renewDeadline = h.sentAt + h.timing.HolderDuration()
	h.nextRequest = h.sentAt + h.timing.retryPeriod()
	h.checkDeadline(now)
}

// checkDeadline ends the lease on this side once the renew deadline has passed.
func (h *Holder) checkDeadline(now time.Duration) {
	if h.held && now >= h.renewDeadline {
		h.held = false
	}
}

// Token returns the token under which the process may act at now, and whether it may. It has to be called
// before each act, not once for several.
func (h *Holder) Token(now time.Duration) (Token, bool) {
	h.checkDeadline(now)
	if !h.held || h.released {
		return 0, false
	}
	return h.grant.Token, true
}
