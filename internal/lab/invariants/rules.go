package invariants

import (
	"fmt"
	"time"

	"piernotch"
)

// Rule is one of the rules in the package comment.
type Rule uint8

// The rules, as the package comment describes them.
const (
	Lost Rule = iota
	Repeated
	Drain
	SlowStart
	Deadline // checks the timeouts that servers are told
	ruleCount
)

// storedRules holds the names of the rules in stored results.
var storedRules = [ruleCount]string{
	Lost: "lost", Repeated: "repeated", Drain: "drain", SlowStart: "cold", Deadline: "deadline",
}

// String returns the name of a rule in printed reports.
func (r Rule) String() string {
	return [ruleCount]string{
		Lost: "lost", Repeated: "repeated", Drain: "drain", SlowStart: "slow start", Deadline: "deadline",
	}[r]
}

// MarshalText returns the name of a rule in stored results.
func (r Rule) MarshalText() ([]byte, error) { return []byte(storedRules[r]), nil }

// UnmarshalText sets the rule from its name in stored results. The error is an UnknownRuleError.
func (r *Rule) UnmarshalText(text []byte) error {
	for rule, name := range storedRules {
		if name == string(text) {
			*r = Rule(rule)
			return nil
		}
	}
	return UnknownRuleError(text)
}

// UnknownRuleError is a text that names no rule.
type UnknownRuleError string

// Error returns a message that quotes the text.
func (e UnknownRuleError) Error() string { return fmt.Sprintf("%q is no rule", string(e)) }

// Result classifies the final response to a request.
type Result uint8

// The results of a request. Failed includes excused requests.
const (
	Served Result = iota
	Rejected
	Failed
)

// String returns the name of a result in printed reports.
func (r Result) String() string { return [...]string{"served", "rejected", "failed"}[r] }

// Limits are the parameters of the rules.
type Limits struct {
	Slack          time.Duration // how much later than the deadline a final response may be sent
	Grace          time.Duration // how long attempts may be sent after a notification that the server drains or is gone
	CollapseWindow time.Duration // work that arrived at most this long before a collapse counts
	MaxAttempts    int
	HedgedRequests bool // whether attempts of one request may overlap
	Classes        []piernotch.Class
	Zone, Cell     func(server ServerIndex) int // of a server; may be nil if no deduplication scope needs them
}

// Violation is one violation of a rule. The JSON keys are those of stored results.
type Violation struct {
	Rule     Rule          `json:"rule"`
	At       time.Duration `json:"at_ns"`
	Balancer BalancerIndex `json:"instance"` // -1: unknown
	Request  uint64        `json:"request,omitempty"`
	Server   ServerIndex   `json:"server"` // -1: none
	Message  string        `json:"what"`
	Steps    []string      `json:"steps,omitempty"` // observations of the request or the server
}

// String returns the violation in one line.
func (v Violation) String() string {
	line := fmt.Sprintf("%s at %.6f s: balancer %d", v.Rule, v.At.Seconds(), v.Balancer)
	if v.Request != 0 {
		line += fmt.Sprintf(", request %d", v.Request)
	}
	if v.Server >= 0 {
		line += fmt.Sprintf(", server %d", v.Server)
	}
	return line + ": " + v.Message
}
