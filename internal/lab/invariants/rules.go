package invariants

import (
	"fmt"
	"time"

	"piernotch"
)

// Rule is one of the rules.
type Rule uint8

// Rules.
const (
	Lost Rule = iota
	Repeated
	Drain
	SlowStart
	Deadline // that servers are told
	ruleCount
)

// storedRules are the names of rules in stored results.
var storedRules = [ruleCount]string{
	Lost: "lost", Repeated: "repeated", Drain: "drain", SlowStart: "cold", Deadline: "deadline",
}

// String names a rule as reports print it.
func (r Rule) String() string {
	return [ruleCount]string{
		Lost: "lost", Repeated: "repeated", Drain: "drain", SlowStart: "slow start", Deadline: "deadline",
	}[r]
}

// MarshalText implements encoding.TextMarshaler by the name in stored results.
func (r Rule) MarshalText() ([]byte, error) { return []byte(storedRules[r]), nil }

// UnmarshalText reads the name in stored results. An error is an UnknownRuleError.
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

// Error quotes the text.
func (e UnknownRuleError) Error() string { return fmt.Sprintf("%q is no rule", string(e)) }

// Result is how a request ended for its client, by its final response.
type Result uint8

// Results.
const (
	Served Result = iota
	Rejected
	Failed
)

// String names a result as reports do.
func (r Result) String() string { return [...]string{"served", "rejected", "failed"}[r] }

// Limits are what the rules are measured by.
type Limits struct {
	Slack          time.Duration // a final response may come so much later than the deadline
	Grace          time.Duration // attempts may be sent for so long after a drain was notified
	CollapseWindow time.Duration // window over which the work of a collapse is counted
	MaxAttempts    int
	HedgedRequests bool // attempts of one request may overlap
	Classes        []piernotch.Class
	Zone, Cell     func(server ServerIndex) int // of a server; may be nil if no class needs them
}

// Violation is a rule that was violated once. The JSON keys are those of stored results.
type Violation struct {
	Rule     Rule          `json:"rule"`
	At       time.Duration `json:"at_ns"`
	Balancer BalancerIndex `json:"instance"` // -1: unknown
	Request  uint64        `json:"request,omitempty"`
	Server   ServerIndex   `json:"server"` // -1: none
	Message  string        `json:"what"`
	Steps    []string      `json:"steps,omitempty"` // what was observed of the request or the server
}

// String is the violation in one line.
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
