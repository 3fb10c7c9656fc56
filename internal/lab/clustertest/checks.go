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

// tokenUse records who acted under a token, and when: first and last are the times of the first and last check of the
// lease before an act, in Unix nanoseconds.
type tokenUse struct {
	holder      string
	first, last int64
}

// collectReports accepts the connections of holders until the listener is closed.
func (h *harness) collectReports() {
	for {
		conn, err := h.listener.Accept()
		if err != nil {
			return
		}
		go h.readReports(conn) // until the holder ends
	}
}

func (h *harness) readReports(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	decoder := json.NewDecoder(bufio.NewReader(conn))
	for {
		var received report
		if decoder.Decode(&received) != nil { // the holder has ended, perhaps while writing a line
			return
		}
		h.record(received)
	}
}

// record adds the call or act of a report to the run's state.
func (h *harness) record(received report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if completed := received.Call; completed != nil {
		h.calls = append(h.calls, clustersim.Call{
			Request:    protocol.Request{Kind: completed.Kind, Command: completed.Command},
			SentAt:     time.Duration(completed.SentAt),
			ReceivedAt: time.Duration(completed.ReceivedAt),
			Grant:      completed.Grant,
			Err:        errorOf(completed.Err),
		})
	}
	if received.Act != nil {
		h.recordActLocked(received.Name, received.Act)
	}
}

// recordActLocked passes an act to the fence, counts the act and extends the token's use. It checks that no two holders
// act under one token of a duty.
func (h *harness) recordActLocked(holder string, done *act) {
	if admitted, _ := h.fence.Admit(done.Duty, done.Token); admitted {
		h.result.Acts++
	} else {
		h.result.Fenced++
	}
	uses := h.uses[done.Duty]
	if uses == nil {
		uses = map[lease.Token]*tokenUse{}
		h.uses[done.Duty] = uses
	}
	use := uses[done.Token]
	if use == nil {
		use = &tokenUse{holder: holder, first: done.CheckedAt, last: done.CheckedAt}
		uses[done.Token] = use
	}
	if use.holder != holder {
		h.result.Violations = append(h.result.Violations, fmt.Sprintf(
			"%s and %s both acted under token %d of %s", use.holder, holder, done.Token, done.Duty,
		))
	}
	use.first = min(use.first, done.CheckedAt)
	use.last = max(use.last, done.CheckedAt)
}

// checkEnd checks, at the end of a run, that every duty is held within endTimeout, that uses of tokens do not overlap,
// and that the history of calls is linearizable. It also completes the result.
func (h *harness) checkEnd(ctx context.Context) {
	if err := h.waitUntilHeld(ctx, endTimeout); err != nil {
		h.violation("not every duty has a lease holder %v after the last fault: %v", clustersim.QuietPeriod, err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for duty, uses := range h.uses {
		h.checkUsesLocked(duty, uses)
	}
	h.result.Calls = len(h.calls)
	h.result.Violations = append(h.result.Violations, clustersim.CheckLinearizability(h.calls)...)
}

// checkUsesLocked checks that the uses of a duty's successive tokens do not overlap. It adds the duty's spans, gaps
// and number of grants to the result.
func (h *harness) checkUsesLocked(duty lease.Duty, uses map[lease.Token]*tokenUse) {
	tokens := slices.Sorted(maps.Keys(uses))
	h.result.Grants += len(tokens)
	for i, token := range tokens {
		use := uses[token]
		h.result.Spans = append(h.result.Spans, clustersim.Span{
			Duty:   string(duty),
			Token:  token,
			Holder: use.holder,
			From:   h.sinceStart(use.first),
			To:     h.sinceStart(use.last),
		})
		if i == 0 {
			continue
		}
		previousToken := tokens[i-1]
		previous := uses[previousToken]
		if previous.last >= use.first {
			h.result.Violations = append(h.result.Violations, fmt.Sprintf(
				"%s: %s checked its lease under token %d until %.3f s, and %s under token %d from %.3f s",
				duty, previous.holder, previousToken, h.sinceStart(previous.last).Seconds(),
				use.holder, token, h.sinceStart(use.first).Seconds(),
			))
		}
		h.result.Gaps = append(h.result.Gaps, time.Duration(use.first-previous.last).Seconds())
	}
}

func (h *harness) sinceStart(unixNano int64) time.Duration {
	return time.Unix(0, unixNano).Sub(h.startedAt)
}
