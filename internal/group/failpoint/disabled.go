//go:build !planted

// Package failpoint has faults that the laboratory plants to see that its campaigns find them. They are
// compiled in with the build tag "planted" alone: in every other build Is is a constant.
package failpoint

// Enabled tells whether the fault of that name is planted: never, in this build.
func Enabled(string) bool { return false }
