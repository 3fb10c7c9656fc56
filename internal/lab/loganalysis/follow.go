package loganalysis

import (
	"cmp"
	"slices"
)

// Follow returns all lines about a request, from all logs of a folder, in the order of time. Errors are
// those of Each.
func Follow(dir, id string) ([]Line, error) {
	var found []Line
	_, _, err := Each(dir, func(line Line) {
		if line.Fields[keyRequest] == id {
			found = append(found, line)
		}
	})
	slices.SortStableFunc(found, func(a, b Line) int { return cmp.Compare(a.Time, b.Time) })
	return found, err
}
