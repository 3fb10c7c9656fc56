package clustersim

import (
	"fmt"
	"slices"
	"time"

	"piernotch/internal/controlgroup/lease"
	"piernotch/internal/controlgroup/protocol"
)

// maxViolations bounds the violations in a result, except for those of CheckLinearizability. One event may
// cause several.
const maxViolations = 8

// violation records a violated property with the true time, and so ends the run.
func (s *simulation) violation(format string, args ...any) {
	if len(s.result.Violations) < maxViolations {
		text := fmt.Sprintf("%.3f s: ", s.now.Seconds()) + fmt.Sprintf(format, args...)
		s.result.Violations = append(s.result.Violations, text)
	}
}

// recordHeld extends the span of this duty, token and holder to now, or begins a span.
func (s *simulation) recordHeld(duty lease.Duty, token lease.Token, name string) {
	for i := len(s.result.Spans) - 1; i >= 0; i-- {
		span := &s.result.Spans[i]
		if span.Duty == string(duty) && span.Token == token && span.Holder == name {
			span.To = s.now
			return
		}
	}
	s.result.Spans = append(s.result.Spans, Span{string(duty), token, name, s.now, s.now})
}

// checkExclusive is called while holder holds duty i by holder's clock. Another running client that holds the duty by
// that client's clock is a violation. A gap of more than 2*actInterval since the duty was last held is added to
// UnheldShare.
func (s *simulation) checkExclusive(holder *client, i int) {
	if gap := s.now - s.lastHeld[duty(i)]; gap > 2*actInterval {
		s.result.UnheldShare += gap.Seconds()
	}
	s.lastHeld[duty(i)] = s.now
	for _, process := range s.clients() {
		other := process.client
		if other == holder || !process.up {
			continue
		}
		if token, held := other.holders[i].Token(other.now()); held {
			s.violation("duty %d is held by c%d and, under token %d, by c%d", i, holder.id, token, other.id)
		}
	}
}

// recordAct counts an act that a receiver carried out, and adds the act to the digest. It checks that no two clients
// act under one token of a duty.
func (s *simulation) recordAct(duty lease.Duty, token lease.Token, from processID) {
	if s.actors[duty] == nil {
		s.actors[duty] = map[lease.Token]processID{}
	}
	if other, found := s.actors[duty][token]; found && other != from {
		s.violation("c%d and c%d both acted under token %d of %s", other, from, token, duty)
	}
	s.actors[duty][token] = from
	s.result.Acts++
	s.addToDigest(uint64(s.now), uint64(token), uint64(from))
}

// addToDigest hashes parts into the run's digest. Two runs of one seed must have equal digests.
func (s *simulation) addToDigest(parts ...uint64) {
	for _, p := range parts {
		s.digest = (s.digest ^ p) * digestPrime
	}
}

// checkEnd checks, at the end of a run, that every duty is held and that the history of calls is linearizable. It also
// completes the result.
func (s *simulation) checkEnd() {
	for i := range s.size.Duties {
		isHeld := func(process *process) bool {
			_, held := process.client.holders[i].Token(process.now())
			return held
		}
		if !slices.ContainsFunc(s.clients(), isHeld) {
			s.violation("duty %d has no lease holder %v after the last fault", i, QuietPeriod)
		}
		s.result.Grants += len(s.actors[duty(i)])
	}
	s.result.UnheldShare /= s.size.Duration.Seconds() * float64(s.size.Duties)
	final := slices.DeleteFunc(slices.Clone(s.calls), func(call Call) bool {
		return !call.completed || !protocol.IsFinal(call.Err)
	})
	s.result.Violations = append(s.result.Violations, CheckLinearizability(final)...)
}

// Span is a period in which a client held a duty under one token: from the first check that found the lease valid to
// the last. Package clustertest takes the checks from the reported acts.
type Span struct {
	Duty   string        `json:"duty"`
	Token  lease.Token   `json:"token"`
	Holder string        `json:"member"`
	From   time.Duration `json:"from_ns"`
	To     time.Duration `json:"to_ns"`
}
