package piernotch

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// What operators ask for while a proxy serves: backends left out, and other settings.

// Exclude leaves a backend out until Include, whatever the list says of it meanwhile, and
// whether or not it is listed. What it has in hand it may finish.
func (b *Balancer) Exclude(now time.Duration, id BackendID) {
	b.begin(now)
	b.excluded[id] = true
	if to := b.backends[id]; to != nil {
		to.excluded = true
		b.regroup(now)
	}
}

// Include lets a backend that was left out until since serve again. It was out to be
// restarted, and the list may not have said so yet: it counts as cold from then on, or from
// a later start that the list tells of.
func (b *Balancer) Include(now time.Duration, id BackendID, since time.Duration) {
	b.begin(now)
	delete(b.excluded, id)
	to := b.backends[id]
	if to == nil {
		return
	}
	to.excluded = false
	to.ejected, to.strikes, to.trial, to.probed = 0, 0, false, false
	if since = max(since, to.StartedAt); now < since+b.set.Rules.SlowStartDuration {
		b.chill(now, to, since)
	}
	b.regroup(now)
}

// usable tells whether the list and the operators allow new requests to the backend.
func (to *backend) usable() bool { return to.State == Ready && !to.excluded }

// UpdateSettings takes other settings while requests are under way, or none of them and an error that
// names the one it cannot take. A class keeps its index: those of s must be the present ones,
// in their places, and new ones after them. Requests under way keep the class they came with.
func (b *Balancer) UpdateSettings(now time.Duration, s Settings) error {
	if err := s.Validate(); err != nil {
		return err
	}
	switch {
	case len(s.Classes) < len(b.set.Classes):
		return fmt.Errorf("settings: %d classes, the %d in use must keep their places", len(s.Classes), len(b.set.Classes))
	case s.Zone != b.set.Zone || !slices.Equal(s.Zones, b.set.Zones):
		return fmt.Errorf("settings: zones cannot change while the program runs")
	case len(s.Tenants) != len(b.set.Tenants):
		return fmt.Errorf("settings: tenants cannot change while the program runs")
	}
	b.begin(now)
	s.Classes = slices.Clone(s.Classes) // requests point to theirs
	b.set = s
	b.configure()
	for _, to := range b.sorted {
		for len(to.failing) < len(s.Classes) {
			to.failing, to.sent = append(to.failing, 0), append(to.sent, 0)
		}
	}
	return nil
}

// configure derives from the settings what the decisions go by.
func (b *Balancer) configure() {
	s := &b.set
	b.shortAim = s.Classes[0].LatencyObjective
	for _, c := range s.Classes {
		b.shortAim = min(b.shortAim, c.LatencyObjective)
	}
	b.spillers = max(spillers, spillShare*float64(s.BalancerCount))
	b.window = 0
	if b.many() {
		b.window = s.Rules.OverloadWindow / coldWindows
	}
	// A zone counts as empty when each of its backends holds its bound of this proxy's
	// requests: what would queue there unseen waits here instead, where it can still go to
	// whichever backend is free first. The bounds are small, for a backend is crowded by all
	// proxies together: elsewhere, the fewer may spill there, the more each of them may.
	b.levels = []level{{0, 1}, {0, 2}, {1, 1}}
	for depth := 2.0; depth*float64(s.BalancerCount-1) <= spillers && depth < spillers; depth++ {
		b.levels = append(b.levels, level{1, depth})
	}
	b.sweep = max(s.Tick, time.Duration(float64(b.shortAim)/sweepsPerAim))
	b.watchGap = s.Rules.PollInterval / 8
	for len(b.quick) < len(s.Classes) {
		b.quick = append(b.quick, 0)
	}
	b.makeBands()
}

// Snapshot is what a proxy has learnt of its traffic, for the one that takes over from it.
type Snapshot struct {
	Median, MeanWork, LargeShare float64 // of the hints, ms, ms and a share
	Usual                        float64 // answers a second of a warm backend of size 1
}

// Snapshot tells what has been learnt so far.
func (b *Balancer) Snapshot() Snapshot { return Snapshot{b.median, b.meanWork, b.largeShare, b.usual} }

// Restore starts a proxy from what another has learnt, unless it has learnt more by itself.
// Figures that cannot be are passed over.
func (b *Balancer) Restore(l Snapshot) {
	for _, v := range []float64{l.Median, l.MeanWork, l.Usual} {
		if !(v >= 0) || math.IsInf(v, 0) {
			return
		}
	}
	if b.hints > 0 || !(l.Median > 0 && l.MeanWork > 0 && l.LargeShare >= 0 && l.LargeShare <= 1) {
		return
	}
	b.hints, b.works = resumedHints, resumedHints
	b.median, b.meanWork, b.largeShare = l.Median, l.MeanWork, l.LargeShare
	b.usual = max(b.usual, l.Usual)
}

// resumedHints is how many hints of its own what another has learnt counts for.
const resumedHints = 16
