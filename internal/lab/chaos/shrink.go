package chaos

import "slices"

// Shrink removes steps without which fails still reports true, and returns the steps that are left, at least one unless
// steps is empty. It calls fails at most maxCalls times.
func Shrink[T any](steps []T, maxCalls int, fails func([]T) bool) []T {
	// Try to remove length consecutive steps, half of all at first. If fails reports false for every such removal,
	// halve length.
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
