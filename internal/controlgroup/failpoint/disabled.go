//go:build !planted

package failpoint

// Enabled reports whether the fault of that name is enabled. In this build none ever is.
func Enabled(string) bool { return false }
