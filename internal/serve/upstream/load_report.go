package upstream

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"time"

	"piernotch"
	"piernotch/internal/serve/core"
	"piernotch/internal/simprotocol"
)

// reportWarningInterval is the minimum time between two log lines about invalid
// load reports.
const reportWarningInterval = 10 * time.Second

var (
	errNoInflight       = errors.New("load report has no inflight value")
	errInvalidLoadValue = errors.New("invalid name=value pair in load report")
)

// parseLoadReport parses a load report: comma-separated name=value pairs. Unknown
// names are ignored. No name may occur twice, and inflight is required. Values must
// be finite and not negative.
func parseLoadReport(text string) (piernotch.LoadReport, error) {
	var load piernotch.LoadReport
	seen := make([]string, 0, 4) // the constant capacity keeps seen on the stack: every response may carry a report
	for pair := range strings.SplitSeq(text, ",") {
		name, value, found := strings.Cut(strings.TrimSpace(pair), "=")
		number, err := strconv.ParseFloat(value, 64)
		wellFormed := found && err == nil && !slices.Contains(seen, name)
		if !wellFormed || !simprotocol.SetLoadValue(&load, name, number) {
			return piernotch.LoadReport{}, fmt.Errorf("%w: %q", errInvalidLoadValue, pair)
		}
		seen = append(seen, name)
	}
	if !slices.Contains(seen, simprotocol.InflightColumn) {
		return piernotch.LoadReport{}, fmt.Errorf("%w: %q", errNoInflight, text)
	}
	return load, nil
}

// loadReportReceived passes a response's load report to the core; "" means none. An
// invalid report is logged, at most once per reportWarningInterval, and ignored: the
// response itself is still valid.
func (u *Upstream) loadReportReceived(from core.Endpoint, text string) {
	if text == "" {
		return
	}
	load, err := parseLoadReport(text)
	if err == nil {
		u.emit(core.LoadReported{Server: from.Server, Load: load})
		return
	}
	now := u.now()
	if u.lastReportWarning == 0 || now-u.lastReportWarning > reportWarningInterval {
		u.lastReportWarning = now
		slog.Warn("load report rejected", "server", from.Address, "err", err)
	}
}
