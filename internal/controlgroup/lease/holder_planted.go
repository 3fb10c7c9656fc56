//go:build planted

package lease

import "time"

// HandleResponseLate is HandleResponse, but counts the renew deadline from the response instead of the request.
func (h *Holder) HandleResponseLate(now time.Duration, seq RequestSeq, grant Grant, err error) {
	if h.pending && seq == h.pendingSeq {
		h.sentAt = now
	}
	h.HandleResponse(now, seq, grant, err)
}

// HandleResponseWithoutDrift is HandleResponse, but lets the holder act for an eighth longer than the lease duration,
// as if its clock were slow far beyond Timing.MaxClockDrift.
func (h *Holder) HandleResponseWithoutDrift(now time.Duration, seq RequestSeq, grant Grant, err error) {
	renews := h.pending && seq == h.pendingSeq && !h.released && err == nil
	h.HandleResponse(now, seq, grant, err)
	if renews {
		h.held = true
		h.renewDeadline = h.sentAt + h.timing.Duration + h.timing.Duration/8
		h.checkDeadline(now)
	}
}

// GrantedToken returns the token of the last grant until the duty is released, without checking the renew deadline.
func (h *Holder) GrantedToken() (token Token, granted bool) {
	if h.released {
		return 0, false
	}
	return h.grant.Token, h.grant.Token > 0
}
