package clustersim

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"piernotch/internal/controlgroup/lease"
	"piernotch/internal/controlgroup/protocol"
)

// Call is one request as its sender saw it, with the group's response. The times of all calls of a history have the
// same zero.
type Call struct {
	Request    protocol.Request
	SentAt     time.Duration
	ReceivedAt time.Duration
	Grant      lease.Grant
	Err        error
	completed  bool // a response has arrived
}

// complete records the first response, and ignores others.
func (c *Call) complete(now time.Duration, response protocol.Response) {
	if c.completed {
		return
	}
	c.ReceivedAt = now
	c.Grant = response.Grant
	c.Err = response.Err
	c.completed = true
}

// changesNothing reports whether the call is known to have left the group's state unchanged.
func (c *Call) changesNothing() bool { return c.Request.Kind != protocol.Propose || c.Err != nil }

const (
	checkTimeout     = time.Second      // for the calls of one duty
	longCheckTimeout = 20 * time.Second // for the same calls without slow reads

	// Calls that change nothing and took longer than maxReadDuration are left out of a history that cannot be checked
	// in checkTimeout. When a paused voter resumes, it responds to many calls at once. These can have taken effect in
	// any order, which leaves too many orders to try.
	maxReadDuration = 3 * time.Second
)

// CheckLinearizability returns a line for each duty whose calls cannot have taken effect one after the other, each
// between its request and its response, or whose history could not be checked in time. Calls without a final response
// must not be in the history; later responses show any effects of such calls.
func CheckLinearizability(calls []Call) []string {
	byDuty := map[lease.Duty][]porcupine.Operation{}
	for i, call := range calls {
		duty := call.Request.Command.Duty
		byDuty[duty] = append(byDuty[duty], porcupine.Operation{
			ClientId: i,
			Input:    call,
			Call:     int64(call.SentAt),
			Return:   int64(call.ReceivedAt),
		})
	}
	var violations []string
	for _, duty := range slices.Sorted(maps.Keys(byDuty)) {
		switch checkHistory(byDuty[duty]) {
		case porcupine.Illegal:
			violations = append(violations, fmt.Sprintf("the history of calls for %s is not linearizable", duty))
		case porcupine.Unknown:
			violation := fmt.Sprintf("the history of calls for %s could not be checked in time", duty)
			violations = append(violations, violation)
		}
	}
	return violations
}

func checkHistory(operations []porcupine.Operation) porcupine.CheckResult {
	verdict := porcupine.CheckOperationsTimeout(leaseModel, operations, checkTimeout)
	if verdict != porcupine.Unknown {
		return verdict
	}
	withoutSlowReads := slices.DeleteFunc(operations, func(operation porcupine.Operation) bool {
		call := operation.Input.(Call)
		return call.changesNothing() && call.ReceivedAt-call.SentAt > maxReadDuration
	})
	return porcupine.CheckOperationsTimeout(leaseModel, withoutSlowReads, longCheckTimeout)
}

// leaseState is the state of one duty's lease that the calls so far show.
type leaseState struct {
	token  lease.Token // the highest seen
	holder lease.Process
	ended  bool // a call has shown that the lease of this token ended, by release or expiry
}

// observe returns whether a response may show a grant in state s, and the next state. Between two calls there may be
// grants that no call shows, and a grant may expire at any time. But tokens rise, each token has one holder, and a
// lease that has ended does not become valid again.
func (s leaseState) observe(grant lease.Grant) (bool, leaseState) {
	isNewer := grant.Token > s.token
	isCurrent := grant.Token == s.token && grant.Holder == s.holder && !s.ended
	return isNewer || isCurrent, leaseState{token: grant.Token, holder: grant.Holder}
}

// leaseModel is porcupine's sequential specification of one duty's lease.
var leaseModel = porcupine.Model{
	Init: func() any { return leaseState{} },
	Step: func(state, input, _ any) (bool, any) {
		c := input.(Call)
		return state.(leaseState).step(&c)
	},
}

// step returns whether a call may take effect in state s, and the next state.
func (s leaseState) step(call *Call) (bool, leaseState) {
	command := &call.Request.Command
	succeeded := call.Err == nil
	switch {
	case succeeded && command.Op == lease.Release:
		ok, next := s.observe(lease.Grant{Holder: command.Process, Token: command.Token})
		next.ended = true
		return ok, next
	case succeeded, errors.Is(call.Err, lease.ErrHeld):
		return s.observe(call.Grant)
	case call.Request.Kind == protocol.Read: // the duty has no lease holder
		s.ended = true
	}
	return true, s // rejected: shows nothing, since the lease that the request named may still be valid
}
