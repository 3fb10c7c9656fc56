//go:build !planted

package lease

// rules are the safety rules that Table and ExpiryClock call. A build with the tag "planted" replaces them by
// faultyRules; see package failpoint.
var rules safetyRules
