package invariants

import (
	"fmt"
	"time"

	"piernotch"
)

// Rule is one of the four rules.
type Rule uint8

// Rules.
const (
	Lost Rule = iota
	Repeated
	Drain
	SlowStart
	ruleCount
)

// String names a rule as reports do.
func (r Rule) String() string { return [...]string{"lost", "repeated", "drain", "cold"}[r] }

// MarshalText implements encoding.TextMarshaler by the rule's name.
func (r Rule) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText reads a rule's name back. An error is an UnknownRuleError.
func (r *Rule) UnmarshalText(text []byte) error {
	for rule := range ruleCount {
		if rule.String() == string(text) {
			*r = rule
			return nil
		}
	}
	return UnknownRuleError(text)
}

// UnknownRuleError is a text that names no rule.
type UnknownRuleError string

// Error quotes the text.
func (e UnknownRuleError) Error() string { return fmt.Sprintf("%q is no rule", string(e)) }

// Result is a final answer as the client got it.
type Result uint8

// Results.
const (
	Served Result = iota
	Rejected
	Failed
)

// String names a result as reports do.
func (r Result) String() string { return [...]string{"served", "refused", "failed"}[r] }

// Limits are what the rules are measured by.
type Limits struct {
	Slack          time.Duration // a final answer may come so much later than the deadline
	Grace          time.Duration // attempts may be sent for so long after a drain was notified
	CollapseWindow time.Duration // window over which the work of a collapse is counted
	MaxAttempts    int
	HedgedRequests bool // attempts of one request may overlap
	Classes        []piernotch.Class
	Zone, Cell     func(server int) int // of a server; may be nil if no class needs them
}

// Violation is one broken rule.
type Violation struct {
	Rule     Rule          `json:"rule"`
	At       time.Duration `json:"at_ns"`
	Balancer int           `json:"instance"` // of the balancer; -1: unknown
	Request  uint64        `json:"request,omitempty"`
	Server   int           `json:"server"` // -1: none
	Message  string        `json:"what"`
	Steps    []string      `json:"steps,omitempty"` // what was observed of the request or the server
}

// String is the violation in one line.
func (v Violation) String() string {
	s := fmt.Sprintf("%s at %.6f s: balancer %d", v.Rule, v.At.Seconds(), v.Balancer)
	if v.Request != 0 {
		s += fmt.Sprintf(", request %d", v.Request)
	}
	if v.Server >= 0 {
		s += fmt.Sprintf(", server %d", v.Server)
	}
	return s + ": " + v.Message
}
