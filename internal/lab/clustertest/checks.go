package clustertest

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"slices"
	"time"

	"piernotch/internal/controlgroup/lease"
	"piernotch/internal/controlgroup/protocol"
	"piernotch/internal/lab/clustersim"
)

// tokenUse is when a holder acted under a token, in Unix nanoseconds of its checks of the lease.
type tokenUse struct {
	holder      string
	first, last int64
}

// collectReports takes the connections of holders until the listener is closed.
func (h *harness) collectReports() {
	for {
		nc, err := h.listener.Accept()
		if err != nil {
			return
		}
		go h.readReports(nc) // until the holder ends
	}
}

func (h *harness) readReports(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	decoder := json.NewDecoder(bufio.NewReader(nc))
	for {
		var r report
		if decoder.Decode(&r) != nil { // the holder has ended, perhaps within a line
			return
		}
		h.record(r)
	}
}

// record adds a report to the history.
func (h *harness) record(r report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c := r.Call; c != nil {
		h.calls = append(h.calls, clustersim.Call{
			Request:    protocol.Request{Kind: c.Kind, Command: c.Command},
			SentAt:     time.Duration(c.SentAt),
			ReceivedAt: time.Duration(c.ReceivedAt),
			Grant:      c.Grant,
			Err:        errorOf(c.Err),
		})
	}
	if r.Act != nil {
		h.recordActLocked(r.Name, r.Act)
	}
}

// recordActLocked receives an act: it fences it, and checks that only one holder acts under each token.
func (h *harness) recordActLocked(holder string, a *act) {
	if admitted, _ := h.fence.Admit(a.Duty, a.Token); admitted {
		h.result.Acts++
	} else {
		h.result.Fenced++
	}
	uses := h.uses[a.Duty]
	if uses == nil {
		uses = map[uint64]*tokenUse{}
		h.uses[a.Duty] = uses
	}
	use := uses[a.Token]
	if use == nil {
		use = &tokenUse{holder: holder, first: a.CheckedAt, last: a.CheckedAt}
		uses[a.Token] = use
	}
	if use.holder != holder {
		h.result.Violations = append(h.result.Violations, fmt.Sprintf("token %d of %s was acted under by %s and %s", a.Token, a.Duty, use.holder, holder))
	}
	use.first = min(use.first, a.CheckedAt)
	use.last = max(use.last, a.CheckedAt)
}

// checkEnd checks the run as a whole, at its end.
func (h *harness) checkEnd(ctx context.Context) {
	if err := h.waitUntilHeld(ctx, endTimeout); err != nil {
		h.violation("not every duty is held, %v after the last fault: %v", clustersim.QuietPeriod, err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for d, uses := range h.uses {
		h.checkUsesLocked(d, uses)
	}
	h.result.Calls = len(h.calls)
	h.result.Violations = append(h.result.Violations, clustersim.CheckLinearizability(h.calls)...)
}

// checkUsesLocked checks that nobody acted under a token of the duty after someone acted under the next.
func (h *harness) checkUsesLocked(d lease.Duty, uses map[uint64]*tokenUse) {
	tokens := slices.Sorted(maps.Keys(uses))
	h.result.Grants += len(tokens)
	for i, token := range tokens {
		use := uses[token]
		h.result.Spans = append(h.result.Spans, clustersim.Span{
			Duty: string(d), Token: token, Holder: use.holder, From: h.sinceStart(use.first), To: h.sinceStart(use.last),
		})
		if i == 0 {
			continue
		}
		previousToken := tokens[i-1]
		previous := uses[previousToken]
		if previous.last >= use.first {
			h.result.Violations = append(h.result.Violations, fmt.Sprintf("%s: %s looked under token %d up to %.3f s, and %s under %d from %.3f s",
				d, previous.holder, previousToken, h.sinceStart(previous.last).Seconds(), use.holder, token, h.sinceStart(use.first).Seconds()))
		}
		h.result.Gaps = append(h.result.Gaps, time.Duration(use.first-previous.last).Seconds())
	}
}

func (h *harness) sinceStart(unixNano int64) time.Duration {
	return time.Unix(0, unixNano).Sub(h.startedAt)
}
