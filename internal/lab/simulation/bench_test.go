package simulation

import (
	"fmt"
	"testing"

	"piernotch/internal/lab/scenario"
)

// BenchmarkWorld runs worlds of several sizes at the same load per server. It reports the World's time per client
// request and per event, and the time of the balancers' decisions per client request.
func BenchmarkWorld(b *testing.B) {
	for _, size := range [][2]int{{4, 20}, {50, 200}, {500, 2000}} {
		b.Run(fmt.Sprintf("%dx%d", size[0], size[1]), func(b *testing.B) {
			s, err := scenario.Load("growth")
			if err != nil {
				b.Fatal(err)
			}
			s, err = s.With(
				"length_s=10",
				fmt.Sprintf("balancers.count=%d", size[0]),
				fmt.Sprintf("fleet.servers=%d", size[1]),
				fmt.Sprintf("traffic.keys=%d", 40*size[1]),
				fmt.Sprintf("discovery.calls_per_s=%d", size[0]),
			)
			if err != nil {
				b.Fatal(err)
			}
			requests, events, world, module := 0, 0, 0.0, 0.0
			for i := range b.N {
				d, err := s.Draw(uint64(i + 1))
				if err != nil {
					b.Fatal(err)
				}
				w, err := New(d, NewInProcess())
				if err != nil {
					b.Fatal(err)
				}
				r, err := w.Run()
				if err != nil {
					b.Fatal(err)
				}
				requests, events = requests+r.Requests, events+r.Events
				world, module = world+r.WallS-r.ModuleS, module+r.ModuleS
			}
			b.ReportMetric(world/float64(requests)*1e6, "world-µs/request")
			b.ReportMetric(world/float64(events)*1e9, "world-ns/event")
			b.ReportMetric(module/float64(requests)*1e6, "module-µs/request")
		})
	}
}
