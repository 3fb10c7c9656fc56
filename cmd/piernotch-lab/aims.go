package main

import "piernotch/internal/lab/experiment"

// parseAims reads the bounds of a command line.
func parseAims(texts []string) ([]experiment.Bound, error) {
	var aims []experiment.Bound
	for _, text := range texts {
		aim, err := experiment.ParseBound(text)
		if err != nil {
			return nil, err
		}
		aims = append(aims, aim)
	}
	return aims, nil
}

// checkAims prints the missed bounds, in the texts they were given as, and returns errFailed for
// these and for violations.
func checkAims(w *printer, texts []string, aims []experiment.Bound, summary map[string]experiment.Interval, violations int) error {
	failed := violations > 0
	for i, aim := range aims {
		if aim.Missed(summary) {
			w.Printf("missed: %s, it is %s\n", texts[i], summary[aim.Figure])
			failed = true
		}
	}
	if failed {
		return errFailed
	}
	return nil
}
