package loadtest

import "piernotch/internal/lab/simulation"

const (
	// recoverySpan is the length in seconds of the spans that are compared. A single second holds too few requests.
	recoverySpan = 3
	// recoveryThreshold is the share of the control's goodput below which a span counts as not recovered.
	recoveryThreshold = 0.95
)

// Recovery compares a run with its control, from the start of the fault on.
type Recovery struct {
	Served         float64 // weight served within the latency objective, as a share of the control's
	Worst          float64 // the same share in the worst span of recoverySpan seconds, at most 1
	RecoveredAfter float64 // seconds from the fault to the end of the last span below recoveryThreshold; 0: none
	Rejected       float64 // rejected share of the client attempts since the fault
	Failed         float64 // share of client attempts since the fault that failed or found no balancer
}

// MeasureRecovery compares a run whose fault began at faultSecond with its control of the same seed.
func MeasureRecovery(run, control *simulation.Result, faultSecond int) Recovery {
	seconds := min(len(run.Seconds), len(control.Seconds))
	recovery := Recovery{Served: servedShare(run, control, faultSecond, seconds), Worst: 1}
	for from := faultSecond; from+recoverySpan <= seconds; from++ {
		share := servedShare(run, control, from, from+recoverySpan)
		recovery.Worst = min(recovery.Worst, share)
		if share < recoveryThreshold {
			recovery.RecoveredAfter = float64(from + recoverySpan - faultSecond)
		}
	}
	rejected, failed, attempts := 0, 0, 0
	for _, second := range run.Seconds[faultSecond:] {
		rejected += second.Rejected
		failed += second.Failed
		attempts += second.ClientAttempts
	}
	if attempts > 0 {
		recovery.Rejected = float64(rejected) / float64(attempts)
		recovery.Failed = float64(failed) / float64(attempts)
	}
	return recovery
}

// servedShare returns the weight that the run served within the latency objective in the seconds [from, to), as a
// share of the control's; 1 if the control served none.
func servedShare(run, control *simulation.Result, from, to int) float64 {
	got, want := 0.0, 0.0
	for i := from; i < to; i++ {
		got += run.Seconds[i].ServedWeight
		want += control.Seconds[i].ServedWeight
	}
	if want == 0 {
		return 1
	}
	return got / want
}
