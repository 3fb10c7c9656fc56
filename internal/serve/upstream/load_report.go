package upstream

import (
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"time"

	"piernotch"
	"piernotch/internal/serve/core"
	"piernotch/internal/wire"
)

// sayEvery is the least time between two lines about reports that cannot be used.
const sayEvery = 10 * time.Second

// report reads a load report, as name=value,… with any names, each at most once and
// inflight among them. Values are finite and not negative.
func report(text string) (load piernotch.LoadReport, err error) {
	seen := make([]string, 0, 4) // on the stack: every answer brings one
	for part := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		v, bad := strconv.ParseFloat(value, 64)
		if !ok || bad != nil || slices.Contains(seen, name) || !wire.SetLoad(&load, name, v) {
			return piernotch.LoadReport{}, fmt.Errorf("%q", part)
		}
		seen = append(seen, name)
	}
	if !slices.Contains(seen, wire.Inflight) {
		return piernotch.LoadReport{}, fmt.Errorf("no inflight in %q", text)
	}
	return load, nil
}

// reported passes a load report on. One that cannot be read leaves what is believed as
// it was: the answer that it came with is as good as without it.
func (u *Upstream) reported(to core.Endpoint, text string) {
	if text == "" {
		return
	}
	load, err := report(text)
	if err == nil {
		u.emit(core.LoadReported{Backend: to.Backend, Load: load})
		return
	}
	if now := u.now(); u.saidBad == 0 || now-u.saidBad > sayEvery {
		u.saidBad = now
		slog.Warn("load report rejected", "server", to.Address, "err", err)
	}
}
