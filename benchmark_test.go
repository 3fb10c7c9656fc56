package piernotch

import (
	"fmt"
	"testing"
	"time"
)

// The cost of a request and its outcome must not grow with the fleet.
func BenchmarkRequest(bench *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		bench.Run(fmt.Sprint(n), func(bench *testing.B) {
			h := &discardHost{}
			b, err := New(testSettings(), 1, h)
			if err != nil {
				bench.Fatal(err)
			}
			b.UpdateEndpoints(time.Second, UpdateFull, testEndpoints(n, 2))
			bench.ReportAllocs()
			now := time.Second
			for i := range bench.N {
				now += ms
				b.HandleRequest(now, Request{ID: RequestID(i), CostHint: float64(i%13 + 1), Deadline: now + time.Second})
				b.HandleOutcome(now, Outcome{ID: RequestID(i), Server: h.to, Latency: 20 * ms, Closed: true})
			}
		})
	}
}

// discardHost is a Host that remembers only the server of the last attempt.
type discardHost struct{ to ServerID }

func (h *discardHost) StartAttempt(_ RequestID, to ServerID, _ time.Duration) { h.to = to }

func (h *discardHost) CancelAttempt(RequestID, int) {}

func (h *discardHost) Reject(RequestID, time.Duration) {}

func (h *discardHost) Fail(RequestID) {}

func (h *discardHost) HealthCheck(ServerID) {}

func (h *discardHost) WatchEndpoints() {}

func (h *discardHost) SetTimer(time.Duration, uint32) {}
