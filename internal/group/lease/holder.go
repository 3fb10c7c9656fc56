package lease

import (
	"time"

	"piernotch/internal/group/failpoint"
)

// Request is what a holder wants of the group: a command, or a renewal of what it holds.
type Request struct {
	Seq     uint64 // of this holder's questions; an answer names it
	Renew   bool
	Command Command
}

// Holder is a process that wants a duty and may hold it. All times are its own monotonic clock's, which
// must not stand while the machine runs.
type Holder struct {
	terms Timing
	me    Process
	duty  Duty
	seq   uint64

	grant Grant
	until time.Duration // the grant may be gone by for so long
	held  bool

	out   Request // the question that is on its way
	sent  time.Duration
	asked bool
	next  time.Duration // no question before that
	since time.Duration // of this grant
	left  bool          // wants the duty no more
}

// NewHolder returns one that wants a duty from now on.
func NewHolder(terms Timing, me Process, duty Duty) *Holder {
	return &Holder{terms: terms, me: me, duty: duty}
}

// NextRequest returns what to ask the group at now, if anything. pause is how long to wait before a duty that
// another holds is asked for again; the caller spreads it, so that many do not come at once.
func (h *Holder) NextRequest(now, pause time.Duration) (Request, bool) {
	h.lapse(now)
	// A question that has no answer for a third of the time is asked again: every command may be.
	if h.asked && now < h.sent+h.terms.HolderDuration()/3 || now < h.next || h.left && !h.held {
		return Request{}, false
	}
	h.seq++
	a := Request{Seq: h.seq}
	switch {
	case h.left:
		a.Command = Command{Op: Release, Duty: h.duty, Process: h.me, Token: h.grant.Token}
	case h.held:
		a.Renew, a.Command = true, Command{Duty: h.duty, Process: h.me, Token: h.grant.Token}
	default:
		a.Command = Command{Op: Acquire, Duty: h.duty, Process: h.me}
	}
	h.out, h.sent, h.asked, h.next = a, now, true, now+pause
	return a, true
}

// Transfer gives the duty to another process: the holder stops here and now, and the returned question
// makes it official. If that is lost, the grant ends by time.
func (h *Holder) Transfer(now time.Duration, to Process) (Request, bool) {
	h.lapse(now)
	if !h.held {
		return Request{}, false
	}
	h.seq++
	a := Request{Seq: h.seq, Command: Command{Op: Transfer, Duty: h.duty, Process: h.me, Token: h.grant.Token, Successor: to}}
	h.held, h.left, h.asked = false, true, false
	return a, true
}

// Release has the holder want the duty no more: it stops at once, and Next tells the group.
func (h *Holder) Release() { h.left, h.asked, h.next = true, false, 0 }

// RequestLost says that question seq will not be answered: another may be asked at once, of another voter.
func (h *Holder) RequestLost(seq uint64) {
	if h.asked && seq == h.out.Seq {
		h.asked, h.next = false, 0
	}
}

// RetryNow says that the duty may have come free: it is asked for at once.
func (h *Holder) RetryNow() {
	if !h.held && !h.asked {
		h.next = 0
	}
}

// ReleasePending tells whether the group has yet to hear that the duty is given up.
func (h *Holder) ReleasePending(now time.Duration) bool {
	h.lapse(now)
	return h.left && h.held
}

// HandleResponse takes the group's answer to question seq. Only the answer to the last question counts, and
// from when that was asked: the way back may have been long.
func (h *Holder) HandleResponse(now time.Duration, seq uint64, g Grant, err error) {
	if !h.asked || seq != h.out.Seq {
		return
	}
	h.asked = false
	from := h.sent
	if failpoint.Enabled("counted-from-answer") {
		from = now
	}
	switch {
	case h.left:
		h.held = false
	case err != nil:
		h.held = false
	default:
		if !h.held || h.grant.Token != g.Token {
			h.since = now
		}
		h.grant, h.until, h.held = g, from+h.terms.HolderDuration(), true
		if failpoint.Enabled("drift-ignored") {
			h.until = from + h.terms.Duration + h.terms.Duration/8
		}
		h.next = from + h.terms.HolderDuration()/3
	}
	h.lapse(now)
}

func (h *Holder) lapse(now time.Duration) {
	if h.held && now >= h.until {
		h.held = false
	}
}

// Token is the look at the clock before an act: the token to act under, if the duty is still held. It
// must be asked before each act, not once for several.
func (h *Holder) Token(now time.Duration) (uint64, bool) {
	if h.lapse(now); !h.held || h.left {
		return 0, false
	}
	return h.grant.Token, true
}

// Status is what a holder believes, for a person to read.
type Status struct {
	Grant Grant
	Since time.Duration
	Until time.Duration
	Held  bool
}

// Status tells what the holder believes at now.
func (h *Holder) Status(now time.Duration) Status {
	_, may := h.Token(now)
	return Status{h.grant, h.since, h.until, may}
}

// Fence is at whoever receives acts. What it has seen has to outlive its process: keep Seen before the
// act is done.
type Fence struct{ seen map[Duty]uint64 }

// Admit tells whether an act under a token may be done; fresh says that the token is higher than any
// before, and has to be kept first.
func (f *Fence) Admit(d Duty, token uint64) (ok, fresh bool) {
	if token < f.seen[d] && !failpoint.Enabled("no-fence") {
		return false, false
	}
	if fresh = token > f.seen[d]; fresh {
		if f.seen == nil {
			f.seen = map[Duty]uint64{}
		}
		f.seen[d] = token
	}
	return true, fresh
}

// Tokens returns the highest token of each duty.
func (f *Fence) Tokens() map[Duty]uint64 { return f.seen }

// Restore sets what a fence had seen before its process ended.
func (f *Fence) Restore(seen map[Duty]uint64) { f.seen = seen }
