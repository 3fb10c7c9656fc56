package main

import "piernotch/internal/lab/experiment"

// bounds are the bounds of a command line (--aim) and the texts they were given as.
type bounds struct {
	texts  []string
	parsed []experiment.Bound
}

func parseBounds(texts []string) (bounds, error) {
	b := bounds{texts: texts}
	for _, text := range texts {
		bound, err := experiment.ParseBound(text)
		if err != nil {
			return bounds{}, err
		}
		b.parsed = append(b.parsed, bound)
	}
	return b, nil
}

// check prints the missed bounds, and returns errFailed for these and for violations.
func (b bounds) check(w *printer, summary map[string]experiment.Interval, violations int) error {
	failed := violations > 0
	for i, bound := range b.parsed {
		if bound.Missed(summary) {
			w.Printf("missed: %s, it is %s\n", b.texts[i], summary[bound.Figure])
			failed = true
		}
	}
	if failed {
		return errFailed
	}
	return nil
}
