package experiment

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Bound is a bound for a figure's mean.
type Bound struct {
	Figure  string
	AtLeast bool // the mean is to be at least the value, or else at most
	Value   float64
}

// ParseBound reads FIGURE>=VALUE or FIGURE<=VALUE. Its errors are FlagErrors of --aim.
func ParseBound(text string) (Bound, error) {
	for _, operator := range []string{">=", "<="} {
		name, value, ok := strings.Cut(text, operator)
		if !ok {
			continue
		}
		name = strings.TrimSpace(name)
		v, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil || !slices.Contains(FigureNames(), name) {
			cause := fmt.Errorf("one of %s and a number are expected", strings.Join(FigureNames(), ", "))
			return Bound{}, &FlagError{Flag: "--aim", Value: text, Err: cause}
		}
		return Bound{Figure: name, AtLeast: operator == ">=", Value: v}, nil
	}
	return Bound{}, &FlagError{Flag: "--aim", Value: text, Err: errors.New("FIGURE>=BOUND or FIGURE<=BOUND is expected")}
}

// Missed reports whether a summary misses the bound.
func (b Bound) Missed(summary map[string]Interval) bool {
	mean := summary[b.Figure].Mean
	if b.AtLeast {
		return mean < b.Value
	}
	return mean > b.Value
}
