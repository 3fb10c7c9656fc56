//go:build planted

package failpoint

// enabledName is the fault that is enabled; "": none.
var enabledName string

// Enabled reports whether the fault of that name is enabled.
func Enabled(name string) bool { return name == enabledName }

// Enable enables one fault in place of the last, or none with "". It must not be called while anything that
// calls Enabled runs.
func Enable(name string) { enabledName = name }
