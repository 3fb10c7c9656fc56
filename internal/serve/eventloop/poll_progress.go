package eventloop

import "time"

// pollProgress measures how far the poller lags behind the arrival of input. While the poller is busy, a probe is sent
// through its batches of events: all input that had arrived when the probe was sent is in the first batch that began
// afterwards, or in an earlier one, and has been read when the batch behind that one is being handled.
type pollProgress struct {
	caughtUp time.Time // input that arrived until then has been read
	sent     time.Time // when the probe was sent, if no batch was handled since; zero: in stages, or there is none
	// stages holds the time of a probe in the batch that was handled last, and in the one before. The first may have
	// begun before the probe was sent.
	stages [2]time.Time
}

// tick sends a probe if the poller is busy and none is on its way. A poller that is not busy has caught up.
func (p *pollProgress) tick(now time.Time, busy bool) {
	switch {
	case p.probing():
	case busy:
		p.sent = now
	default:
		p.caughtUp = now
	}
}

// probing reports whether a probe is on its way.
func (p *pollProgress) probing() bool {
	return !p.sent.IsZero() || !p.stages[0].IsZero() || !p.stages[1].IsZero()
}

// batch must be called once in each batch of events while a probe is on its way.
func (p *pollProgress) batch() {
	if !p.stages[1].IsZero() {
		p.caughtUp = p.stages[1]
	}
	p.stages[1], p.stages[0], p.sent = p.stages[0], p.sent, time.Time{}
}
