//go:build planted

package clustersim

import (
	"fmt"
	"testing"
	"time"

	"piernotch/internal/controlgroup/failpoint"
)

// Each planted fault is found; the log says by which seed and after how long. Run it with -tags planted -v.
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

// firstViolation returns what a seed breaks, "" if nothing. A voter that panics over what is on its
// disk counts as a violation.
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
