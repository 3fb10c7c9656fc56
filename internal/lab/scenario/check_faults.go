package scenario

import (
	"maps"
	"slices"
)

// checkFault checks a fault, whose key with a dot is the prefix.
func (s *Scenario) checkFault(checks *checker, prefix string, fault *FaultSpec) {
	if _, ok := faultKinds[fault.Kind]; !ok {
		checks.oneOf(prefix+"kind", fault.Kind, slices.Sorted(maps.Keys(faultKinds))...)
		return
	}
	checks.withinAll(prefix, []limits{
		{"at_s", fault.AtS, 0, MaxLength},
		{"for_s", fault.ForS, 0, MaxLength},
		{"part", fault.Part, 0, 1},
		{"size", fault.Size, 0, 1e6},
		{"every_s", fault.EveryS, 0, 3600},
		{"ramp_s", fault.RampS, 0, 3600},
	})
	fault.checkRequired(checks, prefix)
	if fault.Class != "" &&
		!slices.ContainsFunc(s.Classes, func(class Class) bool { return class.Name == fault.Class }) {
		checks.report(prefix+"class", "%q is no class", fault.Class)
	}
	if fault.Zone != "" && !slices.Contains(s.Zones.Names, fault.Zone) {
		checks.report(prefix+"zone", "%q is no zone", fault.Zone)
	}
}

// checkRequired checks the keys that a kind of fault requires.
func (f *FaultSpec) checkRequired(checks *checker, prefix string) {
	require := func(key string, value Range) {
		if !value.Set || value.upper() == 0 {
			checks.report(prefix+key, "%s requires it: %s", f.Kind, faultKinds[f.Kind])
		}
	}
	switch f.Kind {
	case FaultSlowServers, FaultHeavyTail, FaultRepeatedResponses:
		require("part", f.Part)
		require("size", f.Size)
	case FaultServerPauses:
		require("part", f.Part)
		require("size", f.Size)
		require("every_s", f.EveryS)
		if f.EveryS.lower()*1000 <= f.Size.upper() {
			checks.report(prefix+"every_s", "more than size (%v ms) is expected", f.Size.upper())
		}
	case FaultLateReports, FaultBurst, FaultLateDiscovery, FaultMalformedClients:
		require("size", f.Size)
	case FaultShrink:
		if f.Size.lower() < 1 {
			checks.report(prefix+"size", "%v, 1 or more is expected", f.Size.lower())
		}
	case FaultDiscoveryOutage, FaultMoveDiscovery: // nothing is required
	default:
		require("part", f.Part)
	}
}
