package lease

import "time"

// RequestSeq is the number of a request of one Holder, from 1 on.
type RequestSeq uint64

// Request is a Holder's request to the group: a command, or the renewal of its lease.
type Request struct {
	Seq     RequestSeq // identifies the request to HandleResponse
	Renew   bool       // renew Command.Duty under Command.Token; Command.Op is not set
	Command Command
}

// Holder contends for and holds one duty on behalf of one process: it decides when to acquire, renew and release the
// duty, and whether the process may act. All times are readings of the process's own monotonic clock, which must not
// stop while the machine runs. A Holder must not be used from two goroutines at once.
type Holder struct {
	timing  Timing
	process Process
	duty    Duty

	grant         Grant
	held          bool          // grant is in force until renewDeadline
	renewDeadline time.Duration // the process must not act from then on
	released      bool          // the duty is no longer wanted

	lastSeq     RequestSeq
	pending     bool          // the request pendingSeq has no response yet
	pendingSeq  RequestSeq    // the last request that NextRequest returned
	sentAt      time.Duration // when NextRequest returned it
	nextRequest time.Duration // earliest time of the next request
}

// NewHolder returns a Holder that contends for the duty and does not hold it yet.
func NewHolder(timing Timing, process Process, duty Duty) *Holder {
	return &Holder{timing: timing, process: process, duty: duty}
}

// NextRequest returns the request that has to be sent now, and whether there is one. If another process holds
// the duty, the next attempt to acquire it comes after pause. The caller draws pause at random, so that contenders
// do not all send at once.
func (h *Holder) NextRequest(now, pause time.Duration) (Request, bool) {
	h.checkDeadline(now)
	// A request without a response is repeated. Every command may safely arrive twice.
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

// newRequest returns a request with the next number and without an operation.
func (h *Holder) newRequest() Request {
	h.lastSeq++
	return Request{Seq: h.lastSeq, Command: Command{Duty: h.duty, Process: h.process}}
}

// Transfer hands the duty to another process, and reports whether the duty was held. The holder stops acting at once.
// The caller has to send the returned request, and may ignore the response: if the request is lost, the lease expires.
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

// Release gives up the duty for good. The holder stops acting at once. NextRequest then returns the request that
// releases the lease at the group.
func (h *Holder) Release() {
	h.released = true
	h.pending = false
	h.nextRequest = 0
}

// RequestLost tells the holder that a request will get no response. If that was the pending request, the next request
// may be sent at once, to another voter.
func (h *Holder) RequestLost(seq RequestSeq) {
	if h.pending && seq == h.pendingSeq {
		h.pending = false
		h.nextRequest = 0
	}
}

// RetryNow ends the pause before the next attempt to acquire the duty. It is called when the duty may have come free.
func (h *Holder) RetryNow() {
	if !h.held && !h.pending {
		h.nextRequest = 0
	}
}

// ReleasePending reports whether the duty was released but the group has not confirmed that yet. After the renew
// deadline it reports false.
func (h *Holder) ReleasePending(now time.Duration) bool {
	h.checkDeadline(now)
	return h.released && h.held
}

// HandleResponse handles the group's response to the request seq; err is nil, ErrHeld or ErrNotHeld. It ignores a
// response to any but the pending request. The renew deadline counts from when that request was sent, because
// the lease may have been granted that early and the response delayed.
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

// checkDeadline marks the duty as not held once the renew deadline has passed.
func (h *Holder) checkDeadline(now time.Duration) {
	if h.held && now >= h.renewDeadline {
		h.held = false
	}
}

// Token returns the token under which the process may act, and whether it may act at now. It has to be called
// before every single action.
func (h *Holder) Token(now time.Duration) (Token, bool) {
	h.checkDeadline(now)
	if !h.held || h.released {
		return 0, false
	}
	return h.grant.Token, true
}
