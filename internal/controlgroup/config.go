package controlgroup

import (
	"time"
)

// Config is a balancer's membership of a control group. The zero value is not usable: see Validate.
type Config struct {
	Name string // the group's name, the same at all members
	// Self is this balancer's name in the group: that of one of Voters, or of a member without a vote.
	Self          string
	StorePath     string        // the path of a voter's store; "" for a member without a vote
	LeaseDuration time.Duration // how long a duty is held without a renewal
	MaxClockDrift float64       // the largest error of any machine's clock rate, as a share: 0.01 is 1 %
	Voters        []Voter       // one, three, five or seven, the same at all members
	Duties        []string      // the duties that this balancer acquires when they are free
	// WatchDuty is the duty of polling discovery for all balancers that name it; "": this one polls for itself.
	WatchDuty string
	// DiscoveryName is a common name for discovery, where balancers reach it at different addresses; "": the
	// address.
	DiscoveryName string
}

// Voter is a member with a vote, and the TCP address (IP and port) where it listens for the group.
type Voter struct{ Name, Address string }

// Voter returns this balancer's own entry among the voters, and whether there is one.
func (c *Config) Voter() (Voter, bool) {
	for _, voter := range c.Voters {
		if voter.Name == c.Self {
			return voter, true
		}
	}
	return Voter{}, false
}
