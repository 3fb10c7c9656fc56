package loadtest

import "piernotch/internal/lab/simulation"

const (
	recoverySpan      = 3 // seconds: a single one holds few requests
	recoveryThreshold = 0.95
)

// Recovery is how a day went from the time of its fault on, against its control.
type Recovery struct {
	Served         float64 // weight served in time, as a share of the control's
	Worst          float64 // the same, over the worst recoverySpan
	RecoveredAfter float64 // seconds until the last span below recoveryThreshold was over; 0: there was none
	Rejected       float64 // share of the attempts that were rejected
	Failed         float64 // and that failed, or found no balancer
}

// MeasureRecovery compares a day whose fault began at a second with its control. Both days are of one
// seed.
func MeasureRecovery(r, control *simulation.Result, at int) Recovery {
	n := min(len(r.Seconds), len(control.Seconds))
	recovery := Recovery{Served: servedShare(r, control, at, n), Worst: 1}
	for from := at; from+recoverySpan <= n; from++ {
		share := servedShare(r, control, from, from+recoverySpan)
		recovery.Worst = min(recovery.Worst, share)
		if share < recoveryThreshold {
			recovery.RecoveredAfter = float64(from + recoverySpan - at)
		}
	}
	rejected, failed, attempts := 0, 0, 0
	for _, second := range r.Seconds[at:] {
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

// servedShare is the weight served in time in the seconds from one up to, but not including, another, as a
// share of the control's.
func servedShare(r, control *simulation.Result, from, to int) float64 {
	got, want := 0.0, 0.0
	for i := from; i < to; i++ {
		got += r.Seconds[i].ServedWeight
		want += control.Seconds[i].ServedWeight
	}
	if want == 0 {
		return 1
	}
	return got / want
}
