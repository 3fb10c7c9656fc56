package clustersim

import (
	"fmt"
	"slices"
	"time"

	"piernotch/internal/controlgroup/lease"
	"piernotch/internal/controlgroup/protocol"
)

// maxViolations bounds what a result keeps; a run ends at its first violation.
const maxViolations = 8

// violation records that the run broke a property.
func (s *simulation) violation(format string, args ...any) {
	if len(s.result.Violations) < maxViolations {
		s.result.Violations = append(s.result.Violations, fmt.Sprintf("%.3f s: ", s.now.Seconds())+fmt.Sprintf(format, args...))
	}
}

// recordHeld extends the span of a duty that is held now.
func (s *simulation) recordHeld(d lease.Duty, token uint64, name string) {
	spans := s.result.Spans
	for i := len(spans) - 1; i >= 0; i-- {
		span := &spans[i]
		if span.Duty == string(d) && span.Token == token && span.Holder == name {
			span.To = s.now
			return
		}
	}
	s.result.Spans = append(spans, Span{string(d), token, name, s.now, s.now})
}

// checkExclusive checks, while a member holds a duty by its own clock, that no other member does. It also
// adds up how long nobody held the duty.
func (s *simulation) checkExclusive(m *member, i int) {
	if gap := s.now - s.lastHeld[duty(i)]; gap > 2*actInterval {
		s.result.UnheldShare += gap.Seconds()
	}
	s.lastHeld[duty(i)] = s.now
	for _, n := range s.members() {
		other := n.member
		if other == m || !n.up {
			continue
		}
		if token, held := other.holders[i].Token(other.now()); held {
			s.violation("duty %d is held by m%d and, under token %d, by m%d", i, m.id, token, other.id)
		}
	}
}

// recordAct records an act that a receiver did, and checks that only one member acts under each token.
func (s *simulation) recordAct(d lease.Duty, token uint64, from nodeID) {
	if s.actors[d] == nil {
		s.actors[d] = map[uint64]nodeID{}
	}
	if other, found := s.actors[d][token]; found && other != from {
		s.violation("token %d of %s was acted under by m%d and m%d", token, d, other, from)
	}
	s.actors[d][token] = from
	s.result.Acts++
	s.addToDigest(uint64(s.now), token, uint64(from))
}

// addToDigest makes what happens part of the run's digest: the same seed has to give the same digest.
func (s *simulation) addToDigest(parts ...uint64) {
	for _, p := range parts {
		s.digest = (s.digest ^ p) * digestPrime
	}
}

// checkEnd checks the run as a whole, at its end.
func (s *simulation) checkEnd() {
	for i := range s.size.Duties {
		isHeld := func(n *node) bool {
			_, held := n.member.holders[i].Token(n.now())
			return held
		}
		if !slices.ContainsFunc(s.members(), isHeld) {
			s.violation("duty %d is held by nobody, %v after the last fault", i, QuietPeriod)
		}
		s.result.Grants += len(s.actors[duty(i)])
	}
	s.result.UnheldShare /= s.size.Duration.Seconds() * float64(s.size.Duties)
	final := slices.DeleteFunc(slices.Clone(s.calls), func(c Call) bool { return !c.completed || !protocol.IsFinal(c.Err) })
	s.result.Violations = append(s.result.Violations, CheckLinearizability(final)...)
}

// Span is how long a member held a duty under a token, as its acts or its checks of the lease show.
type Span struct {
	Duty   string        `json:"duty"`
	Token  uint64        `json:"token"`
	Holder string        `json:"member"`
	From   time.Duration `json:"from_ns"`
	To     time.Duration `json:"to_ns"`
}
