package upstream

import (
	"fmt"
	"log/slog"
	"math"
	"strconv"
	"strings"
	"time"

	"piernotch"
	"piernotch/internal/core"
)

// sayEvery is the least time between two lines about reports that cannot be used.
const sayEvery = 10 * time.Second

// report reads a load report, as name=value,… with any names, each at most once and
// inflight among them. Values are finite and not negative.
func report(text string) (load piernotch.Load, err error) {
	seen := map[string]bool{}
	for part := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		v, bad := strconv.ParseFloat(value, 64)
		if !ok || bad != nil || !(v >= 0) || math.IsInf(v, 0) || seen[name] {
			return piernotch.Load{}, fmt.Errorf("%q", part)
		}
		seen[name] = true
		switch name {
		case "inflight":
			load.Inflight = v
		case "qps":
			load.PerSec = v
		}
	}
	if !seen["inflight"] {
		return piernotch.Load{}, fmt.Errorf("no inflight in %q", text)
	}
	return load, nil
}

// reported passes a load report on. One that cannot be read leaves what is believed as
// it was: the answer that it came with is as good as without it.
func (u *Upstream) reported(to core.Place, text string) {
	if text == "" {
		return
	}
	load, err := report(text)
	if err == nil {
		u.emit(core.Reported{Backend: to.Backend, Load: load})
		return
	}
	if now := u.now(); u.saidBad == 0 || now-u.saidBad > sayEvery {
		u.saidBad = now
		slog.Warn("load report not taken", "server", to.Address, "err", err)
	}
}
