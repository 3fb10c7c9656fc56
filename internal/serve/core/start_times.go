package core

import (
	"maps"
	"time"
)

const (
	// maxListingDelay is longer than discovery takes to list the start of a process. If a start seems to
	// have been listed with a longer delay, the clocks differ.
	maxListingDelay = 6 * time.Second

	// maxRememberedStarts is the number of starts above which those of unlisted servers are removed.
	maxRememberedStarts = 8192
)

// serverStart is the last start of a server's process.
type serverStart struct {
	listed time.Duration // Unix time, as discovery lists it; it tells one process from the next
	at     time.Duration // on the clock of Core.Handle; 0: long ago
}

// startTimes converts the starts that discovery lists in Unix time to the clock of Core.Handle. It converts each
// start once, when it is first listed: a wall clock may be stepped relative to that clock at any time, and the
// starts that are listed already must not move with the step.
type startTimes struct {
	byName map[string]serverStart // also of servers that are gone: they may be listed again
}

// convert returns a server's start. absentAt is a time at which the list did not yet hold the start; 0: unknown.
// If the clocks differ, a start in the future counts as now, and a start that is too old for a new entry counts as
// absentAt. Without these limits, a new server would be in slow start for too long, or would seem old and skip it.
func (s *startTimes) convert(name string, listed, now, absentAt time.Duration) serverStart {
	if known, ok := s.byName[name]; ok && known.listed == listed {
		return known
	}
	start := serverStart{listed: listed}
	switch {
	case listed <= 0:
	case listed > now:
		start.at = now
	case listed < absentAt-maxListingDelay:
		start.at = absentAt
	default:
		start.at = listed
	}
	s.byName[name] = start
	return start
}

// forgetUnlisted removes the starts of unlisted servers once there are more than maxRememberedStarts.
func (s *startTimes) forgetUnlisted(isListed func(name string) bool) {
	if len(s.byName) <= maxRememberedStarts {
		return
	}
	maps.DeleteFunc(s.byName, func(name string, _ serverStart) bool { return !isListed(name) })
}
