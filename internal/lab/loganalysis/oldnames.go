package loganalysis

import "strings"

// oldNames maps the names that programs up to 2026 logged to those of today: of the keys of a state line, and
// of the statuses of an attempt. Logs of older programs are read as if they had today's names.
var oldNames = struct{ stateKeys, attemptStatuses map[string]string }{
	stateKeys: map[string]string{
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
	},
	attemptStatuses: map[string]string{
		"moot": "not_sent",
	},
}

// useCurrentNames replaces old names in the fields of a line.
func useCurrentNames(line *Line) {
	switch line.Event {
	case eventState:
		renameStateKeys(line.Fields)
	case eventAttemptCompleted:
		if status, ok := oldNames.attemptStatuses[line.Fields[keyStatus]]; ok {
			line.Fields[keyStatus] = status
		}
	}
}

// renameStateKeys renames the keys of a state line, and those within the text of its module field.
func renameStateKeys(fields map[string]string) {
	for old, current := range oldNames.stateKeys {
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
		if current, isOld := oldNames.stateKeys[key]; isPair && isOld {
			words[i] = current + "=" + value
		}
	}
	fields[keyModule] = strings.Join(words, " ")
}
