package piernotch

import (
	"fmt"
	"testing"
	"time"

	"piernotch/internal/decision/estimate"
)

// benchmarkFleets are the fleet sizes of the benchmarks, in servers. Each fleet is split evenly over two zones.
var benchmarkFleets = []int{20, 200, 2000}

// The cost of a request and its outcome must not grow with the size of the fleet.
func BenchmarkRequest(b *testing.B) {
	benchmarkRequests(b, testSettings(), func(*benchmarkBalancer) {})
}

// With many balancers, load reports limit the requests at a server, and rendezvous hashing over a lane's
// members assigns keys to servers. A load report comes with each outcome.
func BenchmarkRequestManyBalancersWithKeys(b *testing.B) {
	settings := manyBalancersSettings()
	settings.KeyAffinity = true
	benchmarkRequests(b, settings, func(balancer *benchmarkBalancer) {
		balancer.LoadReported(balancer.now, balancer.host.to, LoadReport{Inflight: 1, CompletedPerSecond: 20})
	})
}

// A tick reviews the servers, so its cost grows with the fleet, up to serversPerTick servers. Here a tick
// follows each request.
func BenchmarkRequestAndTick(b *testing.B) {
	benchmarkRequests(b, testSettings(), func(balancer *benchmarkBalancer) { balancer.Timer(balancer.now, tickToken) })
}

type benchmarkBalancer struct {
	*Balancer
	host  *discardHost
	now   time.Duration
	count RequestID // ID of the last request
}

// benchmarkRequests measures a request, its outcome and a call of then, for each fleet size. Before that, it
// handles twice as many requests as there are servers, so that maps and records have reached their full size.
func benchmarkRequests(b *testing.B, settings Settings, then func(*benchmarkBalancer)) {
	b.Helper()
	for _, n := range benchmarkFleets {
		b.Run(fmt.Sprintf("%d-servers", n), func(b *testing.B) {
			host := &discardHost{}
			decider, err := New(settings, 1, host)
			if err != nil {
				b.Fatal(err)
			}
			balancer := &benchmarkBalancer{Balancer: decider, host: host, now: time.Second}
			balancer.UpdateEndpoints(balancer.now, UpdateFull, testEndpoints(n/2, 2))
			for range 2 * n {
				balancer.decide()
				then(balancer)
			}
			b.ReportAllocs()
			for b.Loop() {
				balancer.decide()
				then(balancer)
			}
		})
	}
}

// decide handles one request and its outcome.
func (b *benchmarkBalancer) decide() {
	b.now += ms
	b.count++
	id := b.count
	b.HandleRequest(b.now, Request{
		ID: id, Key: estimate.MixBits(uint64(id%512)) | 1, CostHint: float64(id%13 + 1), Deadline: b.now + time.Second,
	})
	b.HandleOutcome(b.now, Outcome{ID: id, Server: b.host.to, Latency: 20 * ms, RequestDone: true})
}

// discardHost is a Host that only remembers the server of the last attempt.
type discardHost struct{ to ServerID }

func (h *discardHost) StartAttempt(_ RequestID, to ServerID, _ time.Duration) { h.to = to }

func (h *discardHost) CancelAttempt(RequestID, int) {}

func (h *discardHost) Reject(RequestID, time.Duration) {}

func (h *discardHost) Fail(RequestID) {}

func (h *discardHost) HealthCheck(ServerID) {}

func (h *discardHost) WatchEndpoints() {}

func (h *discardHost) SetTimer(time.Duration, uint32) {}
