package invariants

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch"
)

const ms = time.Millisecond

// Indexes of the classes that newTestChecker lists.
const (
	classIdempotent = iota
	classNonIdempotent
	classZoneKey
)

// newTestChecker returns a Checker with one class for each RetrySafety and ten servers per zone.
func newTestChecker() *Checker {
	return New(Limits{
		Slack: 10 * ms, Grace: 100 * ms, CollapseWindow: time.Second, MaxAttempts: 2,
		Classes: []piernotch.Class{
			{Name: "read", RetrySafety: piernotch.Idempotent},
			{Name: "write", RetrySafety: piernotch.NonIdempotent},
			{
				Name:        "key",
				RetrySafety: piernotch.IdempotencyKey,
				DedupScope:  piernotch.DedupInZone,
				DedupWindow: 200 * ms,
			},
		},
		Zone: func(server ServerIndex) int { return int(server) / 10 },
		Cell: func(server ServerIndex) int { return int(server) },
	})
}

// failedAttempt records an attempt of request 1 that was accepted and may have been executed.
func failedAttempt(c *Checker, at time.Duration, attemptNumber int, server ServerIndex) {
	c.AttemptSent(SentAttempt{At: at, Request: 1, Server: server})
	c.AttemptAccepted(1, attemptNumber)
	c.AttemptCompleted(1, attemptNumber, NeverExecuted(false))
}

func TestCheckerCountsViolationsByRule(t *testing.T) {
	for name, c := range map[string]struct {
		class   int
		observe func(c *Checker)
		want    map[Rule]string // the message of each rule's only violation
	}{
		"served": {classNonIdempotent, func(c *Checker) {
			c.AttemptSent(SentAttempt{At: ms, Request: 1, Server: 3})
			c.AttemptExecuted(2*ms, 1, 0)
			c.AttemptCompleted(1, 0, NeverExecuted(false))
			c.ResponseSent(3*ms, 1, Served)
		}, nil},
		"served by nobody": {classIdempotent, func(c *Checker) { c.ResponseSent(ms, 1, Served) },
			map[Rule]string{Lost: "served, but no server executed it"}},
		"response late": {classIdempotent, func(c *Checker) { c.ResponseSent(150*ms, 1, Failed) },
			map[Rule]string{Lost: "failed 50ms after its deadline"}},
		"two responses": {classIdempotent, func(c *Checker) {
			c.ResponseSent(ms, 1, Failed)
			c.ResponseSent(2*ms, 1, Failed)
		}, map[Rule]string{Lost: "failed: a second final response, or one to an unknown request"}},
		"no response": {classIdempotent, func(c *Checker) { c.CheckOverdue(time.Second) },
			map[Rule]string{Lost: "no final response 900ms after its deadline"}},
		"excused": {classIdempotent, func(c *Checker) {
			c.RequestExcused(ms, 1)
			c.CheckOverdue(time.Second)
		}, nil},
		"dropped": {classIdempotent, func(c *Checker) { c.RequestDropped(ms, 1) },
			map[Rule]string{Lost: "its connection was closed without a response"}},
		"idempotent retry": {classIdempotent, func(c *Checker) {
			failedAttempt(c, ms, 0, 3)
			failedAttempt(c, 2*ms, 1, 14)
			c.ResponseSent(3*ms, 1, Rejected)
		}, nil},
		"too many attempts": {classIdempotent, func(c *Checker) {
			for n := range 3 {
				failedAttempt(c, ms, n, 3)
			}
			c.ResponseSent(3*ms, 1, Failed)
		}, map[Rule]string{Repeated: "attempt 3 of 2 allowed"}},
		"hedged request": {classIdempotent, func(c *Checker) {
			c.AttemptSent(SentAttempt{At: ms, Request: 1, Server: 3})
			c.AttemptSent(SentAttempt{At: ms, Request: 1, Server: 4})
			c.ResponseSent(3*ms, 1, Failed)
		}, map[Rule]string{Repeated: "a hedged request, which is not allowed"}},
		"non-idempotent retry": {classNonIdempotent, func(c *Checker) {
			failedAttempt(c, ms, 0, 3)
			failedAttempt(c, 2*ms, 1, 4)
			c.ResponseSent(3*ms, 1, Failed)
		}, map[Rule]string{Repeated: "retried, though an earlier attempt may have been executed"}},
		"retry of what was never executed": {classNonIdempotent, func(c *Checker) {
			c.AttemptSent(SentAttempt{At: ms, Request: 1, Server: 3})
			c.AttemptCompleted(1, 0, NeverExecuted(true))
			failedAttempt(c, 2*ms, 1, 4)
			c.ResponseSent(3*ms, 1, Failed)
		}, nil},
		"rejection after an attempt": {classNonIdempotent, func(c *Checker) {
			failedAttempt(c, ms, 0, 3)
			c.ResponseSent(3*ms, 1, Rejected)
		}, map[Rule]string{Repeated: "rejected, though an attempt may have been executed"}},
		"retry with key in its zone": {classZoneKey, func(c *Checker) {
			failedAttempt(c, ms, 0, 3)
			failedAttempt(c, 2*ms, 1, 4)
			c.ResponseSent(3*ms, 1, Failed)
		}, nil},
		"retry with key in another zone": {classZoneKey, func(c *Checker) {
			failedAttempt(c, ms, 0, 3)
			failedAttempt(c, 2*ms, 1, 14)
			c.ResponseSent(3*ms, 1, Failed)
		}, map[Rule]string{Repeated: "retried in another zone, outside of the deduplication scope"}},
		"attempt within the grace of a drain": {classIdempotent, func(c *Checker) {
			c.EndpointNotified(NotifiedEndpoint{Server: 3, State: piernotch.Draining})
			failedAttempt(c, 100*ms, 0, 3)
			c.ResponseSent(101*ms, 1, Failed)
		}, nil},
		"attempt after a drain": {classIdempotent, func(c *Checker) {
			c.EndpointNotified(NotifiedEndpoint{Server: 3, State: piernotch.Draining})
			failedAttempt(c, 101*ms, 0, 3)
			c.ResponseSent(102*ms, 1, Failed)
		}, map[Rule]string{Drain: "sent 101ms after the balancer was notified that the server drains or is gone"}},
		"attempt after a drain and a restart": {classIdempotent, func(c *Checker) {
			c.EndpointNotified(NotifiedEndpoint{Server: 3, State: piernotch.Draining})
			c.BalancerRestarted(0)
			failedAttempt(c, 101*ms, 0, 3)
			c.ResponseSent(102*ms, 1, Failed)
		}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			checker := newTestChecker()
			checker.RequestReceived(ReceivedRequest{ID: 1, Class: c.class, Deadline: 100 * ms})
			c.observe(checker)
			got := map[Rule]string{}
			for _, v := range checker.Violations() {
				require.NotContains(t, got, v.Rule, v.Message)
				require.Equal(t, 1, checker.Count(v.Rule))
				got[v.Rule] = v.Message
			}
			require.Len(t, got, len(c.want))
			for rule, message := range c.want {
				require.Equal(t, message, got[rule])
			}
			require.Zero(t, checker.PendingRequests())
		})
	}
}

func TestCollapseCountsAgainstNotifiedBalancersOnly(t *testing.T) {
	for _, notified := range []bool{false, true} {
		c := newTestChecker()
		if notified {
			c.EndpointNotified(NotifiedEndpoint{Server: 3, State: piernotch.Ready, StartedAt: 5 * ms})
		}
		c.SlowStartWork(SlowStartArrival{At: 10 * ms, Balancer: 0, Server: 3, StartedAt: 5 * ms, Work: 70})
		c.SlowStartWork(SlowStartArrival{At: 20 * ms, Balancer: 1, Server: 3, StartedAt: 5 * ms, Work: 30})
		c.ServerCollapsed(20*ms, 3)
		require.Equal(t, notified, c.Count(SlowStart) == 1)
	}
}

func TestDeadlineToldToServerIsCheckedAgainstTheClients(t *testing.T) {
	for _, told := range []time.Duration{0, 90 * ms, 90*ms + deadlineSlack, 90*ms + deadlineSlack + 1} {
		checker := New(Limits{MaxAttempts: 2})
		checker.RequestReceived(ReceivedRequest{ID: 1, Deadline: 100 * ms})
		checker.AttemptSent(SentAttempt{At: 10 * ms, Request: 1, Timeout: told})
		tooLong := told > 90*ms+deadlineSlack
		require.Equal(t, tooLong, checker.Count(Deadline) == 1, told)
		require.Equal(t, tooLong, len(checker.Violations()) == 1, told)
	}
}

func TestRuleIsReadBackFromItsName(t *testing.T) {
	for rule := range ruleCount {
		text, err := rule.MarshalText()
		require.NoError(t, err)
		var got Rule
		require.NoError(t, got.UnmarshalText(text))
		require.Equal(t, rule, got)
	}
	var got Rule
	var unknown UnknownRuleError
	require.ErrorAs(t, got.UnmarshalText([]byte("other")), &unknown)
}
