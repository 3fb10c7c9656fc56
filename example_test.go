package piernotch_test

import (
	"fmt"
	"time"

	"piernotch"
)

// printer is a Host that prints the actions that a Balancer requests.
type printer struct{}

func (printer) StartAttempt(id piernotch.RequestID, to piernotch.ServerID, timeout time.Duration) {
	fmt.Printf("send request %d to server %d, wait %v\n", id, to, timeout)
}
func (printer) CancelAttempt(id piernotch.RequestID, attempt int) {
	fmt.Printf("cancel attempt %d of request %d\n", attempt, id)
}
func (printer) Reject(id piernotch.RequestID, _ time.Duration) {
	fmt.Printf("reject request %d\n", id)
}
func (printer) Fail(id piernotch.RequestID)       { fmt.Printf("fail request %d\n", id) }
func (printer) HealthCheck(id piernotch.ServerID) { fmt.Printf("check server %d\n", id) }
func (printer) WatchEndpoints()                   { fmt.Println("subscribe to the endpoint list") }
func (printer) SetTimer(time.Duration, uint32)    {} // a real host calls Timer with the token after the delay

func Example() {
	settings := piernotch.Settings{
		BalancerCount: 1, Zones: []string{"here", "there"}, Tick: time.Millisecond,
		Classes: []piernotch.Class{{
			Name:             "read",
			LatencyObjective: 200 * time.Millisecond,
			Deadline:         time.Second,
			PriorityWeight:   1,
		}},
		Limits: piernotch.Limits{MaxAttempts: 3},
		Rules:  piernotch.Rules{SlowStartCapacity: 0.2, SlowStartDuration: 10 * time.Second},
	}
	b, err := piernotch.New(settings, 42, printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Second // any clock that does not go backwards
	b.UpdateEndpoints(now, piernotch.UpdateFull, []piernotch.Endpoint{
		{ID: 1, Zone: 0, Size: 1}, {ID: 2, Zone: 1, Size: 1},
	})
	b.HandleRequest(now, piernotch.Request{ID: 7, Deadline: now + time.Second})
	b.HandleOutcome(now+30*time.Millisecond, piernotch.Outcome{
		ID: 7, Server: 1, Status: piernotch.OK, Latency: 30 * time.Millisecond, RequestDone: true,
	})
	b.UpdateEndpoints(now, piernotch.UpdateDelta, []piernotch.Endpoint{{ID: 1, Zone: 0, State: piernotch.Draining}})
	b.HandleRequest(now+40*time.Millisecond, piernotch.Request{ID: 8, Deadline: now + time.Second})
	// Output:
	// send request 7 to server 1, wait 200ms
	// send request 8 to server 2, wait 200ms
}
