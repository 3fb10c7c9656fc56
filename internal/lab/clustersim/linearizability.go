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

// Call is one request as its sender saw it, with the group's response. Calls are compared by their times,
// whose zero is the same for all calls of a history.
type Call struct {
	Request    protocol.Request
	SentAt     time.Duration
	ReceivedAt time.Duration
	Grant      lease.Grant
	Err        error
	completed  bool // there was a response
}

// complete records the first response.
func (c *Call) complete(now time.Duration, response protocol.Response) {
	if c.completed {
		return
	}
	c.ReceivedAt = now
	c.Grant = response.Grant
	c.Err = response.Err
	c.completed = true
}

// changesNothing reports whether the call is known to have left the group's state as it was.
func (c *Call) changesNothing() bool { return c.Request.Kind != protocol.Propose || c.Err != nil }

const (
	checkTimeout     = time.Second      // for a whole history
	longCheckTimeout = 20 * time.Second // for what is left without slow reads

	// A call that changes nothing and took longer than maxReadDuration is left out of a history that cannot be
	// checked in time: many calls that a paused voter responds to at once can have taken effect in any order,
	// and the number of orders to try grows without bounds.
	maxReadDuration = 3 * time.Second
)

// CheckLinearizability returns a line for each duty whose calls cannot have taken effect one after the other,
// each between its request and its response, or could not be checked in time. Calls without a final
// response must not be in the history: what they may have done shows in later responses.
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

// leaseState is what the calls so far show of one duty.
type leaseState struct {
	token  lease.Token // the highest
	holder lease.Process
	ended  bool // the lease of that token has ended, whichever process asked
}

// observe returns whether a response may show a grant, and the state after it. Grants that no call shows may lie
// between, and each may expire at any time; but tokens rise, each has one holder, and a lease that
// has ended does not come back.
func (s leaseState) observe(grant lease.Grant) (bool, leaseState) {
	isNewer := grant.Token > s.token
	isCurrent := grant.Token == s.token && grant.Holder == s.holder && !s.ended
	return isNewer || isCurrent, leaseState{token: grant.Token, holder: grant.Holder}
}

// leaseModel is the sequential specification of one duty.
var leaseModel = porcupine.Model{
	Init: func() any { return leaseState{} },
	Step: func(state, input, _ any) (bool, any) {
		c := input.(Call)
		return state.(leaseState).step(&c)
	},
}

// step returns whether a call may take effect in a state, and the state after it.
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
	return true, s // rejected: the lease that the request named may be valid for a moment longer
}
