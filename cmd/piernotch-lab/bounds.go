package main

import "piernotch/internal/lab/experiment"

// bounds are the thresholds of a command line (--threshold) and the texts they were given as.
type bounds struct {
	texts  []string
	parsed []experiment.Bound
}

func parseBounds(texts []string) (bounds, error) {
	checked := bounds{texts: texts}
	for _, text := range texts {
		bound, err := experiment.ParseBound(text)
		if err != nil {
			return bounds{}, err
		}
		checked.parsed = append(checked.parsed, bound)
	}
	return checked, nil
}

// check prints the missed thresholds, and returns errFailed for these and for violations.
func (b bounds) check(out *printer, summary map[string]experiment.Interval, violations int) error {
	failed := violations > 0
	for i, bound := range b.parsed {
		if bound.Missed(summary) {
			out.Printf("missed: %s, it is %s\n", b.texts[i], summary[bound.Figure])
			failed = true
		}
	}
	if failed {
		return errFailed
	}
	return nil
}
