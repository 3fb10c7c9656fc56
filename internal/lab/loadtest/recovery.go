package loadtest

import "piernotch/internal/lab/simulation"

const (
	// recoverySpan is the length of the spans that are compared, seconds: a single second holds few requests.
	recoverySpan = 3
	// recoveryThreshold is the share of the control's goodput from which a span counts as recovered.
	recoveryThreshold = 0.95
)

// Recovery compares a run with its control, from the time of its fault on.
type Recovery struct {
	Served         float64 // weight served within the latency objective, as a share of the control's
	Worst          float64 // the same, over the worst recoverySpan
	RecoveredAfter float64 // seconds until the last span below recoveryThreshold was over; 0: there was none
	Rejected       float64 // share of the attempts that were rejected
	Failed         float64 // and that failed, or found no balancer
}

// MeasureRecovery compares a run whose fault began at a second with its control. Both are of one seed.
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

// servedShare is the weight served within the latency objective in the seconds from one up to, but not
// including, another, as a share of the control's.
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
