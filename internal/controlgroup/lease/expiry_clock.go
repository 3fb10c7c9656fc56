package lease

import (
	"maps"
	"slices"
	"time"
)

// ExpiryClock expires leases that are not renewed. Each leader creates its own clock when it begins to lead.
// All times are readings of the leader's monotonic clock.
type ExpiryClock struct {
	timing    Timing
	deadlines map[Duty]deadline
}

// deadline is the expiry time of a lease, and the state of its expiry.
type deadline struct {
	token      Token
	at         time.Duration
	expiring   bool          // Expire has been proposed, so the lease can no longer be renewed
	proposedAt time.Duration // when Expire was last proposed
}

// NewExpiryClock returns a clock that gives each grant a full lease duration, because the previous leader may have
// renewed any of them just before now.
func NewExpiryClock(timing Timing, now time.Duration, grants []Grant) *ExpiryClock {
	clock := &ExpiryClock{timing: timing, deadlines: map[Duty]deadline{}}
	for _, grant := range grants {
		clock.deadlines[grant.Duty] = deadline{token: grant.Token, at: rules.inheritedDeadline(timing, now)}
	}
	return clock
}

// Start gives a new or confirmed grant a full lease duration. It returns ErrNotHeld if the grant's expiry has been
// proposed: the table still holds the grant, but no response may confirm it.
func (c *ExpiryClock) Start(now time.Duration, grant Grant) error {
	current := c.deadlines[grant.Duty]
	if current.token == grant.Token && !rules.mayConfirm(current) {
		return ErrNotHeld
	}
	c.deadlines[grant.Duty] = deadline{token: grant.Token, at: now + c.timing.Duration}
	return nil
}

// Stop removes a duty that no longer has a lease holder.
func (c *ExpiryClock) Stop(d Duty) { delete(c.deadlines, d) }

// Renew extends the lease under a token to a full lease duration from now. It returns ErrNotHeld if the duty is not
// held under that token, or if the lease's expiry has been proposed.
func (c *ExpiryClock) Renew(now time.Duration, duty Duty, token Token) error {
	current, held := c.deadlines[duty]
	if !held || current.token != token || !rules.mayRenew(current) {
		return ErrNotHeld
	}
	current.at = now + c.timing.Duration
	c.deadlines[duty] = current
	return nil
}

// Expired returns the Expire commands for the leases whose deadline has passed, sorted by duty. It returns a command
// again after each lease duration until the lease ends, in case the proposal was lost.
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
