package controlgroup

import (
	"time"
)

// Config configures a balancer's membership in a control group. The zero value is invalid; see Validate.
type Config struct {
	Name string // the group's name, the same for all members
	// Self is this balancer's name in the group. If it is the name of one of Voters, this balancer is that voter.
	Self          string
	StorePath     string        // the path of a voter's store file; "" for a member without a vote
	LeaseDuration time.Duration // how long a lease lasts without renewal
	MaxClockDrift float64       // the largest relative error of any machine's clock rate: 0.01 is 1 %
	Voters        []Voter       // one, three, five or seven; the same for all members
	Duties        []string      // the duties that this balancer acquires when they are free
	// WatchDuty is a duty whose holder polls discovery for all balancers with the same WatchDuty. If it is empty,
	// this balancer polls for itself.
	WatchDuty string
	// DiscoveryName is a common name for discovery, needed if balancers reach it at different addresses. If it is
	// empty, the address is the name.
	DiscoveryName string
}

// Voter is a member with a vote. Address is the IP address and TCP port where it listens for other members.
type Voter struct{ Name, Address string }

// Voter returns this balancer's own entry in Voters, and whether there is one.
func (c *Config) Voter() (Voter, bool) {
	for _, voter := range c.Voters {
		if voter.Name == c.Self {
			return voter, true
		}
	}
	return Voter{}, false
}
