package controlgroup

import (
	"fmt"
	"net"
	"time"
)

// Inclusive bounds of the settings.
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

// ValidName reports whether a name of a group, a member or a duty has a valid length.
func ValidName(name string) bool { return name != "" && len(name) <= MaxNameLength }

// Validate returns an error for each invalid setting, without File and Line, or none if the configuration is
// usable.
func (c *Config) Validate() FieldErrors {
	found := &validation{}
	c.validateMember(found)
	c.validateVoters(found)
	c.validateStore(found)
	c.validateLease(found)
	c.validateWatch(found)
	c.validateDuties(found)
	return found.errs
}

func (c *Config) validateMember(found *validation) {
	if !ValidName(c.Name) {
		found.addf("name", "%q, a name of up to %d bytes is expected", c.Name, MaxNameLength)
	}
	if !ValidName(c.Self) {
		found.addf("self", "%q, this balancer's name in the group is expected", c.Self)
	}
}

func (c *Config) validateVoters(found *validation) {
	// An even number of voters tolerates no more failures than one voter less, as its majority is larger.
	count := len(c.Voters)
	oddMajority := count%2 == 1 && count >= 3 && count <= MaxVoters
	if count != 1 && !oddMajority {
		found.addf("voter", "%d voters: 1, 3, 5 or 7 are expected; "+
			"an even number tolerates no more failures than one voter less", count)
	}
	names := map[string]bool{}
	addresses := map[string]bool{}
	for _, voter := range c.Voters {
		host, _, err := net.SplitHostPort(voter.Address)
		if err != nil || net.ParseIP(host) == nil {
			found.addf("voter", "%s: address %q is not an IP address and port", voter.Name, voter.Address)
		}
		if !ValidName(voter.Name) || names[voter.Name] || addresses[voter.Address] {
			found.addf("voter", "%q at %s: names and addresses must be unique", voter.Name, voter.Address)
		}
		names[voter.Name] = true
		addresses[voter.Address] = true
	}
}

func (c *Config) validateStore(found *validation) {
	_, votes := c.Voter()
	hasStore := c.StorePath != ""
	if c.Self != "" && votes != hasStore {
		found.addf("disk", "%q: a voter needs a file, and only a voter may name one", c.StorePath)
	}
}

func (c *Config) validateLease(found *validation) {
	if c.LeaseDuration < MinLeaseDuration || c.LeaseDuration > MaxLeaseDuration {
		found.addf("length_ms", "%v, from %v to %v is expected", c.LeaseDuration, MinLeaseDuration, MaxLeaseDuration)
	}
	if c.MaxClockDrift < 0 || c.MaxClockDrift > MaxDrift {
		found.addf("drift", "%v, a share from 0 to %v is expected", c.MaxClockDrift, MaxDrift)
	}
}

func (c *Config) validateWatch(found *validation) {
	if c.WatchDuty != "" && !ValidName(c.WatchDuty) {
		found.addf("watch", "%q is not a valid name", c.WatchDuty)
	}
	if c.DiscoveryName != "" && (!ValidName(c.DiscoveryName) || c.WatchDuty == "") {
		found.addf("source", "%q: a name is expected, and only together with watch", c.DiscoveryName)
	}
}

func (c *Config) validateDuties(found *validation) {
	if len(c.Duties) > MaxDuties {
		found.addf("duties", "%d, at most %d are expected", len(c.Duties), MaxDuties)
	}
	for _, duty := range c.Duties {
		if !ValidName(duty) {
			found.addf("duties", "%q is not a valid name", duty)
		}
	}
}
