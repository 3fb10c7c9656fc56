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
	token      Token
	at         time.Duration
	expiring   bool          // Expire was proposed: it is too late for a renewal
	proposedAt time.Duration // when Expire was proposed last
}

// NewExpiryClock returns a clock with a full lease duration for each grant: the previous leader may have
// renewed any of them just before now.
func NewExpiryClock(timing Timing, now time.Duration, grants []Grant) *ExpiryClock {
	clock := &ExpiryClock{timing: timing, deadlines: map[Duty]deadline{}}
	for _, grant := range grants {
		clock.deadlines[grant.Duty] = deadline{token: grant.Token, at: rules.inheritedDeadline(timing, now)}
	}
	return clock
}

// Start gives a grant, new or confirmed, a full lease duration. It returns ErrNotHeld where the grant's expiry
// has been proposed: the table still has the grant, but no response may
// confirm it.
func (c *ExpiryClock) Start(now time.Duration, grant Grant) error {
	current := c.deadlines[grant.Duty]
	if current.token == grant.Token && !rules.mayConfirm(current) {
		return ErrNotHeld
	}
	c.deadlines[grant.Duty] = deadline{token: grant.Token, at: now + c.timing.Duration}
	return nil
}

// Stop forgets a duty that has no lease holder any more.
func (c *ExpiryClock) Stop(d Duty) { delete(c.deadlines, d) }

// Renew gives the grant under a token another lease duration. It returns ErrNotHeld where the duty is not
// held under that token, or where its expiry has been proposed.
func (c *ExpiryClock) Renew(now time.Duration, duty Duty, token Token) error {
	current, held := c.deadlines[duty]
	if !held || current.token != token || !rules.mayRenew(current) {
		return ErrNotHeld
	}
	current.at = now + c.timing.Duration
	c.deadlines[duty] = current
	return nil
}

// Expired returns commands that end the leases whose deadline has passed, sorted by duty. Each is returned
// again after a lease duration, in case the proposal was lost.
func (c *ExpiryClock) Expired(now time.Duration) []Command {
	var commands []Command
	for _, duty := range slices.Sorted(maps.Keys(c.deadlines)) {
		current := c.deadlines[duty]
		isProposed := current.expiring && now < current.proposedAt+c.timing.Duration
		if now < current.at || isProposed {
			continue
		}
		current.expiring = true
		current.proposedAt = now
		c.deadlines[duty] = current
		commands = append(commands, Command{Op: Expire, Duty: duty, Token: current.token})
	}
	return commands
}
