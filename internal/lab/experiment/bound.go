package experiment

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"piernotch/internal/lab/storednames"
)

// Bound is a threshold for a figure's mean.
type Bound struct {
	Figure  string // its stored name
	AtLeast bool   // the mean is to be at least the value, or else at most
	Value   float64
}

// ParseBound reads FIGURE>=VALUE or FIGURE<=VALUE. A figure may be given by its stored name or by the one that
// is printed. Its errors are FlagErrors of --threshold.
func ParseBound(text string) (Bound, error) {
	for _, operator := range []string{">=", "<="} {
		name, value, ok := strings.Cut(text, operator)
		if !ok {
			continue
		}
		figure := storednames.Stored(storednames.Figures, strings.TrimSpace(name))
		threshold, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil || !slices.Contains(FigureNames(), figure) {
			cause := fmt.Errorf("one of %s and a number are expected", strings.Join(displayNames(FigureNames()), ", "))
			return Bound{}, &FlagError{Flag: "--threshold", Value: text, Err: cause}
		}
		return Bound{Figure: figure, AtLeast: operator == ">=", Value: threshold}, nil
	}
	return Bound{}, &FlagError{
		Flag:  "--threshold",
		Value: text,
		Err:   errors.New("FIGURE>=VALUE or FIGURE<=VALUE is expected"),
	}
}

// Missed reports whether a summary misses the bound.
func (b Bound) Missed(summary map[string]Interval) bool {
	mean := summary[b.Figure].Mean
	if b.AtLeast {
		return mean < b.Value
	}
	return mean > b.Value
}
