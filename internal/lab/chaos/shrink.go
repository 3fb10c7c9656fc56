package chaos

import "slices"

// Shrink leaves out steps as long as fails reports that those left still fail, and returns the ones it
// could not leave out. It calls fails at most maxCalls times.
func Shrink[T any](steps []T, maxCalls int, fails func([]T) bool) []T {
	// Runs of steps are left out, of half of them at first, and shorter ones where none can be.
	for length := (len(steps) + 1) / 2; length >= 1 && maxCalls > 0; {
		shorter := false
		for i := 0; i < len(steps) && len(steps) > 1 && maxCalls > 0; i += length {
			rest := slices.Concat(steps[:i], steps[min(i+length, len(steps)):])
			if len(rest) == 0 {
				continue
			}
			maxCalls--
			if fails(rest) {
				steps = rest
				shorter = true
				break
			}
		}
		if !shorter {
			length /= 2
		}
		length = min(length, len(steps))
	}
	return steps
}
