package controlgroup

import (
	"fmt"
	"net"
	"time"
)

// Bounds of the settings, all inclusive.
const (
	MinLeaseDuration = time.Second
	MaxLeaseDuration = 10 * time.Minute
	MaxDrift         = 0.1
	MaxVoters        = 7
	MaxDuties        = 256
	MaxNameLength    = 64 // bytes
)

// validation collects the errors of one configuration.
type validation struct{ errs FieldErrors }

func (v *validation) addf(key, format string, args ...any) {
	v.errs = append(v.errs, &FieldError{Key: key, Err: fmt.Errorf(format, args...)})
}

func validName(s string) bool { return s != "" && len(s) <= MaxNameLength }

// Validate returns all settings that cannot be used; none if the configuration is usable. The errors have no
// file and no line.
func (c *Config) Validate() FieldErrors {
	v := &validation{}
	c.validateMember(v)
	c.validateVoters(v)
	c.validateStore(v)
	c.validateLease(v)
	c.validateWatch(v)
	c.validateDuties(v)
	return v.errs
}

func (c *Config) validateMember(v *validation) {
	if !validName(c.Name) {
		v.addf("name", "%q, a name of up to %d characters is expected", c.Name, MaxNameLength)
	}
	if !validName(c.Self) {
		v.addf("self", "%q, this balancer's name in the group is expected", c.Self)
	}
}

func (c *Config) validateVoters(v *validation) {
	// A majority of an even number survives no more failures than that of one voter less.
	n := len(c.Voters)
	oddMajority := n%2 == 1 && n >= 3 && n <= MaxVoters
	if n != 1 && !oddMajority {
		v.addf("voter", "%d voters: three or five are expected, an even number bears no more losses than one less", n)
	}
	names := map[string]bool{}
	addresses := map[string]bool{}
	for _, voter := range c.Voters {
		host, _, err := net.SplitHostPort(voter.Address)
		if err != nil || net.ParseIP(host) == nil {
			v.addf("voter", "%s: address %q is no IP address and port", voter.Name, voter.Address)
		}
		if !validName(voter.Name) || names[voter.Name] || addresses[voter.Address] {
			v.addf("voter", "%q at %s: each voter has a name and an address of its own", voter.Name, voter.Address)
		}
		names[voter.Name] = true
		addresses[voter.Address] = true
	}
}

func (c *Config) validateStore(v *validation) {
	_, votes := c.Voter()
	hasStore := c.StorePath != ""
	if c.Self != "" && votes != hasStore {
		v.addf("disk", "%q: a voter keeps a file, and only a voter does", c.StorePath)
	}
}

func (c *Config) validateLease(v *validation) {
	if c.LeaseDuration < MinLeaseDuration || c.LeaseDuration > MaxLeaseDuration {
		v.addf("length_ms", "%v, from %v to %v is expected", c.LeaseDuration, MinLeaseDuration, MaxLeaseDuration)
	}
	if c.MaxClockDrift < 0 || c.MaxClockDrift > MaxDrift {
		v.addf("drift", "%v, a share from 0 to %v is expected", c.MaxClockDrift, MaxDrift)
	}
}

func (c *Config) validateWatch(v *validation) {
	if c.WatchDuty != "" && !validName(c.WatchDuty) {
		v.addf("watch", "%q is no name", c.WatchDuty)
	}
	if c.DiscoveryName != "" && (!validName(c.DiscoveryName) || c.WatchDuty == "") {
		v.addf("source", "%q: a name is expected, and none without a watch", c.DiscoveryName)
	}
}

func (c *Config) validateDuties(v *validation) {
	if len(c.Duties) > MaxDuties {
		v.addf("duties", "%d, at most %d are expected", len(c.Duties), MaxDuties)
	}
	for _, d := range c.Duties {
		if !validName(d) {
			v.addf("duties", "%q is no name", d)
		}
	}
}
