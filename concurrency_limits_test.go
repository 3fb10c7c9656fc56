package piernotch

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Each of 80 balancers has few requests at a server, so only the server's load report shows the overload. Once
// the report is out of date, the server must get requests again.
func TestServerReportingHighLoadIsSkipped(t *testing.T) {
	b, h := newTestBalancer(t, manyBalancersSettings(), testEndpoints(4, 1))
	b.LoadReported(time.Second, 2, LoadReport{Inflight: 15, CompletedPerSecond: 20})
	for i := range 40 {
		b.HandleRequest(time.Second, newTestRequest(RequestID(i), idempotentClass, 10))
		require.NotEqual(t, ServerID(2), h.last().to, "request %d went to the overloaded server", i)
		completeAttempt(b, time.Second, RequestID(i), 0, h.last().to, OK)
	}
	used := map[ServerID]bool{}
	for i := range 40 { // the report is out of date by now
		id, now := RequestID(100+i), 8*time.Second
		b.HandleRequest(now, Request{ID: id, Class: idempotentClass, Deadline: now + time.Second, CostHint: 10})
		used[h.last().to] = true
		completeAttempt(b, now, id, 0, h.last().to, OK)
	}
	require.True(t, used[2], "a report of seven seconds ago still excludes the server")
}

func TestInvalidLoadReportsAreIgnored(t *testing.T) {
	b, _ := newTestBalancer(t, manyBalancersSettings(), testEndpoints(2, 1))
	b.LoadReported(time.Second, 1, LoadReport{Inflight: 3, CompletedPerSecond: 20})
	before := b.endpoints.find(1).reports
	for _, invalid := range []LoadReport{
		{Inflight: -1},
		{Inflight: math.NaN()},
		{Inflight: 1, CompletedPerSecond: -1},
	} {
		b.LoadReported(2*time.Second, 1, invalid)
	}
	b.LoadReported(2*time.Second, 77, LoadReport{Inflight: 3})
	require.Equal(t, before, b.endpoints.find(1).reports)
}

// 80 balancers can overload the fleet together although each stays within its own limits. The mean load that
// the servers report must make each balancer reduce its limit.
func TestInflightLimitHoldsGroupToTarget(t *testing.T) {
	b, h := runTicks(t, manyBalancersSettings(), 5)
	require.True(t, b.groups[0].concurrency.Reached(), "limit %v", b.groups[0].concurrency.Bound())
	b.HandleRequest(4*time.Second, Request{ID: 100, Class: idempotentClass, Deadline: time.Minute, CostHint: 10})
	require.Greater(t, h.last().to, ServerID(6), "a full zone counts as empty")

	b, _ = runTicks(t, manyBalancersSettings(), 0.1)
	require.False(t, b.groups[0].concurrency.Reached(), "idle servers: limit %v", b.groups[0].concurrency.Bound())
	b, _ = runTicks(t, testSettings(), 5)
	require.False(t, b.groups[0].concurrency.Reached(), "few balancers: their own bounds suffice")
}
