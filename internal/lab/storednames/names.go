package storednames

// Group is a set of stored names in which each name is used once.
type Group int

// Groups of stored names.
const (
	Figures         Group = iota // of a run; keys of result files
	HandoverKinds                // loadtest.HandoverKinds; keys of result files
	FaultKinds                   // the kinds of a scenario's [[trouble]]
	ScheduleKinds                // chaos.Kinds; values of schedule files
	AttemptStatuses              // piernotch.Status; keys of reports on logs, and words in old logs
)

// name is a stored name and the one that people read.
type name struct{ stored, display string }

// table holds every stored name of each group, also those that are printed as they are.
var table = map[Group][]name{
	Figures: {
		{"service", "service"},
		{"whole", "whole_run"},
		{"worst_window", "worst_window"},
		{"worst_class", "worst_class"},
		{"deducted", "deducted"},
		{"lost", "lost"},
		{"repeated", "repeated"},
		{"drain_breaks", "drain_violations"},
		{"cold_falls", "slow_start_collapses"},
		{"cold_peak", "slow_start_peak"},
		{"drain_latest_ms", "drain_latest_ms"},
		{"falls", "collapses"},
		{"requests", "requests"},
		{"refused_rate", "rejected_rate"},
		{"failed_rate", "failed_rate"},
		{"retry_rate", "retry_rate"},
		{"waste_rate", "wasted_work_rate"},
		{"cross_rate", "cross_zone_rate"},
		{"probe_rate", "health_check_rate"},
		{"choked_share", "overloaded_share"},
		{"p50_ms", "p50_ms"},
		{"p99_ms", "p99_ms"},
		{"events", "events"},
		{"wall_s", "wall_time_s"},
		{"module_s", "decision_time_s"},
	},
	HandoverKinds: {
		{"plain", "plain"},
		{"late", "late SIGTERM"},
		{"dies-early", "killed before ready"},
		{"dies-late", "killed after ready"},
		{"both-reload", "reload of both"},
		{"too-soon", "SIGTERM before ready"},
		{"third", "third process"},
		{"exclude", "server excluded"},
		{"drain", "balancer drained"},
	},
	FaultKinds: {
		{"slow", "slow servers"},
		{"pauses", "server pauses"},
		{"report_late", "late load reports"},
		{"burst", "traffic burst"},
		{"heavy_tail", "heavy tail of work"},
		{"shrink", "fleet shrinks"},
		{"leave", "server drain"},
		{"join", "servers join"},
		{"replace", "server replacement"},
		{"takeover", "server takeover"},
		{"restart", "server restart"},
		{"crash", "server crash"},
		{"vanish", "silent servers"},
		{"balancer_crash", "balancer crash"},
		{"balancer_restart", "balancer restart"},
		{"choke", "server overload"},
		{"spoil", "malformed responses"},
		{"response_twice", "repeated responses"},
		{"rude", "malformed clients"},
		{"list_loss", "endpoint list loss"},
		{"roster_move", "discovery move"},
		{"discovery_outage", "discovery outage"},
		{"discovery_late", "late discovery"},
	},
	ScheduleKinds: {
		{"links", "links"},
		{"roster", "discovery"},
		{"processes", "processes"},
		{"flaps", "flaps"},
		{"mixed", "mixed"},
		{"soak", "soak"},
	},
	AttemptStatuses: {
		{"ok", "ok"},
		{"error", "error"},
		{"full", "full"},
		{"timeout", "timeout"},
		{"connect_failed", "connect_failed"},
		{"reset", "reset"},
		{"cancelled", "cancelled"},
		{"moot", "not_sent"},
	},
}

// Display returns the name that people read for a stored one. A name that the table does not have is returned
// as it is.
func Display(group Group, stored string) string {
	for _, entry := range table[group] {
		if entry.stored == stored {
			return entry.display
		}
	}
	return stored
}

// Stored returns the stored name for one that was given on a command line, where either may be given. A name
// that the table does not have is returned as it is.
func Stored(group Group, given string) string {
	for _, entry := range table[group] {
		if entry.display == given {
			return entry.stored
		}
	}
	return given
}

// Has reports whether the table has a stored name.
func Has(group Group, stored string) bool {
	for _, entry := range table[group] {
		if entry.stored == stored {
			return true
		}
	}
	return false
}
