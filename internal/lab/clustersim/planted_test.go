//go:build planted

package clustersim

import (
	"fmt"
	"testing"
	"time"

	"piernotch/internal/controlgroup/failpoint"
)

// The checks must find each planted fault within 4000 seeds. Run the test with -tags planted; with -v, the log has the
// seed that found the fault and the time until then.
func TestPlantedDefectsAreFound(t *testing.T) {
	defer failpoint.Enable(failpoint.None)
	for _, fault := range failpoint.All {
		t.Run(string(fault), func(t *testing.T) {
			startedAt := time.Now()
			for seed := range uint64(4000) {
				failpoint.Enable(fault)
				if violation := firstViolation(seed); violation != "" {
					t.Logf("seed %d, %v: %s", seed, time.Since(startedAt).Round(time.Millisecond), violation)
					return
				}
			}
			t.Errorf("not found in 4000 seeds, %v", time.Since(startedAt))
		})
	}
}

// firstViolation returns the first violation in the run of a seed, or "" if there is none. A panic counts as a
// violation: raft panics on some states of a disk that a planted fault leaves.
func firstViolation(seed uint64) (violation string) {
	defer func() {
		if p := recover(); p != nil {
			violation = fmt.Sprint("a voter panicked: ", p)
		}
	}()
	if r := Run(seed, DefaultSize); len(r.Violations) > 0 {
		return r.Violations[0]
	}
	return ""
}
