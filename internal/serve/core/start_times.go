package core

import (
	"maps"
	"time"
)

const (
	// maxListingDelay is longer than discovery takes to list the start of a process. A start that seems to
	// have been listed later shows that the clocks differ.
	maxListingDelay = 6 * time.Second

	// maxRememberedStarts bounds the starts that are remembered, unless so many servers are listed.
	maxRememberedStarts = 8192
)

// serverStart is the last start of a server's process.
type serverStart struct {
	listed time.Duration // Unix time, as discovery lists it; it tells one process from the next
	at     time.Duration // on the clock of Core.Handle; 0: long ago
}

// startTimes turns the starts that discovery lists in Unix time into times on the clock of Core.Handle, each
// once, when it is first listed. Wall clocks may be stepped against that clock at any moment; what is listed
// already does not move with them.
type startTimes struct {
	byName map[string]serverStart // also of servers that are gone: they may be listed again
}

// convert returns a server's start. The list did not hold it at absentAt; 0: nothing is known of that. Where the
// clocks differ, a start counts as late as it can have been: a server must not pass for one that has long run.
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

// forgetUnlisted forgets the starts of servers that are not listed any more, once there are many.
func (s *startTimes) forgetUnlisted(isListed func(name string) bool) {
	if len(s.byName) <= maxRememberedStarts {
		return
	}
	maps.DeleteFunc(s.byName, func(name string, _ serverStart) bool { return !isListed(name) })
}
