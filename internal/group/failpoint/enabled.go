//go:build planted

package failpoint

var planted string

// Enabled tells whether the fault of that name is planted.
func Enabled(name string) bool { return name == planted }

// Set plants one fault, or none with "". It must not be called while anything runs.
func Set(name string) { planted = name }
