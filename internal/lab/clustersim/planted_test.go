//go:build planted

package clustersim

import (
	"fmt"
	"testing"
	"time"

	"piernotch/internal/group/failpoint"
)

// Each planted fault is found, and the seed and time it took are told. Run it with -tags planted -v.
func TestPlantedFaultsAreFound(t *testing.T) {
	defer failpoint.Set("")
	for _, name := range Plants {
		t.Run(name, func(t *testing.T) {
			begun := time.Now()
			for seed := range uint64(4000) {
				failpoint.Set(name)
				if found := broken(seed); found != "" {
					t.Logf("seed %d, %v: %s", seed, time.Since(begun).Round(time.Millisecond), found)
					return
				}
			}
			t.Errorf("not found in 4000 seeds, %v", time.Since(begun))
		})
	}
}

// broken is what a seed breaks; a process that gives up over what it finds on its disk is one thing.
func broken(seed uint64) (what string) {
	defer func() {
		if p := recover(); p != nil {
			what = fmt.Sprint("a voter gave up: ", p)
		}
	}()
	if r := Play(seed, Small); len(r.Broken) > 0 {
		return r.Broken[0]
	}
	return ""
}
