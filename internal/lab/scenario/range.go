package scenario

import (
	"math/rand/v2"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Range is a number that is drawn evenly between two bounds for each seed. In a file it is a number,
// or [from, to]; the first may be the larger. The zero value is a value that was left out.
type Range struct {
	From, To float64
	Set      bool
	bad      string // the text in the file, where it is no range
}

// Fixed returns the Range of one value.
func Fixed(v float64) Range { return Range{From: v, To: v, Set: true} }

// UnmarshalTOML reads a number or a pair of numbers. It never fails: anything else is kept for Check,
// so that all problems of a file are reported at once.
func (r *Range) UnmarshalTOML(data []byte) error {
	*r = Range{Set: true, bad: strings.TrimSpace(string(data))}
	var doc struct{ V any }
	if err := toml.Unmarshal(append([]byte("v = "), data...), &doc); err != nil {
		return nil // Check reports it
	}
	if v, ok := number(doc.V); ok {
		*r = Fixed(v)
		return nil
	}
	pair, ok := doc.V.([]any)
	if !ok || len(pair) != 2 {
		return nil
	}
	from, fromOK := number(pair[0])
	to, toOK := number(pair[1])
	if fromOK && toOK {
		*r = Range{From: from, To: to, Set: true}
	}
	return nil
}

// number returns a TOML integer or float.
func number(v any) (float64, bool) {
	switch v := v.(type) {
	case int64:
		return float64(v), true
	case float64:
		return v, true
	}
	return 0, false
}

// lower returns the smaller bound.
func (r Range) lower() float64 { return min(r.From, r.To) }

// upper returns the larger bound.
func (r Range) upper() float64 { return max(r.From, r.To) }

// draw draws one number, also where the bounds are equal.
func (r Range) draw(rng *rand.Rand) float64 { return r.From + rng.Float64()*(r.To-r.From) }
