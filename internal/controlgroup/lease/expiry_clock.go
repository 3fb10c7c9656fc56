package lease

import (
	"maps"
	"slices"
	"time"
)

// ExpiryClock expires leases that are not renewed. The leader of the group runs one, from when it begins to lead.
// All times are the leader's monotonic clock's.
type ExpiryClock struct {
	timing    Timing
	deadlines map[Duty]deadline
}

// deadline is when a lease expires.
type deadline struct {
	token      uint64
	at         time.Duration
	expiring   bool          // Expire was proposed: it is too late for a renewal
	proposedAt time.Duration // when Expire was proposed last
}

// NewExpiryClock returns a clock with a full lease duration for each grant: the previous leader may have
// renewed any of them just before now.
func NewExpiryClock(timing Timing, now time.Duration, grants []Grant) *ExpiryClock {
	c := &ExpiryClock{timing: timing, deadlines: map[Duty]deadline{}}
	for _, g := range grants {
		c.deadlines[g.Duty] = deadline{token: g.Token, at: rules.inheritedDeadline(timing, now)}
	}
	return c
}

// Start gives a grant, new or confirmed, a full lease duration. It returns ErrNotHeld where the grant's expiry
// has been proposed: the table still has the grant, but it must not be answered with.
func (c *ExpiryClock) Start(now time.Duration, g Grant) error {
	current := c.deadlines[g.Duty]
	if current.token == g.Token && !rules.mayConfirm(current) {
		return ErrNotHeld
	}
	c.deadlines[g.Duty] = deadline{token: g.Token, at: now + c.timing.Duration}
	return nil
}

// Stop forgets a duty that nobody holds any more.
func (c *ExpiryClock) Stop(d Duty) { delete(c.deadlines, d) }

// Renew gives the grant under a token another lease duration. It returns ErrNotHeld where the duty is not
// held under that token, or where its expiry has been proposed.
func (c *ExpiryClock) Renew(now time.Duration, d Duty, token uint64) error {
	current, held := c.deadlines[d]
	if !held || current.token != token || !rules.mayRenew(current) {
		return ErrNotHeld
	}
	current.at = now + c.timing.Duration
	c.deadlines[d] = current
	return nil
}

// Expired returns commands that end the leases whose deadline has passed, sorted by duty. Each is returned
// again after a lease duration, in case the proposal was lost.
func (c *ExpiryClock) Expired(now time.Duration) []Command {
	var commands []Command
	for _, d := range slices.Sorted(maps.Keys(c.deadlines)) {
		current := c.deadlines[d]
		isProposed := current.expiring && now < current.proposedAt+c.timing.Duration
		if now < current.at || isProposed {
			continue
		}
		current.expiring = true
		current.proposedAt = now
		c.deadlines[d] = current
		commands = append(commands, Command{Op: Expire, Duty: d, Token: current.token})
	}
	return commands
}
