package scenario

import (
	"math/rand/v2"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Range is a number that is drawn evenly between two bounds for each seed. In a file
// it is a number, or [from, to]; the first may be the larger.
type Range struct {
	From, To float64
	Set      bool
	bad      string // what stood there instead
}

// Fixed is a Range of one value.
func Fixed(v float64) Range { return Range{From: v, To: v, Set: true} }

// UnmarshalTOML reads a number or a pair of numbers. What is neither is kept for
// Check, so that all problems of a file are told at once.
func (r *Range) UnmarshalTOML(data []byte) error {
	var doc struct{ V any }
	if err := toml.Unmarshal(append([]byte("v = "), data...), &doc); err != nil {
		*r = Range{Set: true, bad: strings.TrimSpace(string(data))}
		return nil
	}
	number := func(v any) (float64, bool) {
		switch v := v.(type) {
		case int64:
			return float64(v), true
		case float64:
			return v, true
		}
		return 0, false
	}
	if v, ok := number(doc.V); ok {
		*r = Fixed(v)
		return nil
	}
	if pair, ok := doc.V.([]any); ok && len(pair) == 2 {
		from, ok1 := number(pair[0])
		to, ok2 := number(pair[1])
		if ok1 && ok2 {
			*r = Range{From: from, To: to, Set: true}
			return nil
		}
	}
	*r = Range{Set: true, bad: strings.TrimSpace(string(data))}
	return nil
}

func (r Range) lower() float64 { return min(r.From, r.To) }
func (r Range) upper() float64 { return max(r.From, r.To) }

func (r Range) draw(rng *rand.Rand) float64 { return r.From + rng.Float64()*(r.To-r.From) }
