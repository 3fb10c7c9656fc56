package loganalysis

import (
	"strings"

	"piernotch/internal/lab/storednames"
)

// oldStateKeys maps the keys of a state line that programs up to 2026 logged to those of today. Logs of older
// programs are read as if they had today's names.
var oldStateKeys = map[string]string{
	"pace":   "latency_per_work",
	"usual":  "peak_completion_rate",
	"out":    "inflight",
	"limit":  "inflight_limit",
	"held":   "others_inflight",
	"wait":   "queueing_delay",
	"cold":   "slow_start",
	"shed":   "shed_share",
	"budget": "retry_budget",
	"median": "median_cost_hint",
	"mean":   "mean_work",
	"late":   "late_share",
}

// useCurrentNames replaces old names in the fields of a line.
func useCurrentNames(line *Line) {
	switch line.Event {
	case eventState:
		renameStateKeys(line.Fields)
	case eventAttemptCompleted:
		if status, ok := line.Fields[keyStatus]; ok { // old logs have the name that stored reports keep
			line.Fields[keyStatus] = storednames.Display(storednames.AttemptStatuses, status)
		}
	}
}

// renameStateKeys renames the keys of a state line, and those within the text of its module field.
func renameStateKeys(fields map[string]string) {
	for old, current := range oldStateKeys {
		if value, ok := fields[old]; ok {
			delete(fields, old)
			fields[current] = value
		}
	}
	text, ok := fields[keyModule]
	if !ok {
		return
	}
	words := strings.Split(text, " ")
	for i, word := range words {
		key, value, isPair := strings.Cut(word, "=")
		if current, isOld := oldStateKeys[key]; isPair && isOld {
			words[i] = current + "=" + value
		}
	}
	fields[keyModule] = strings.Join(words, " ")
}
