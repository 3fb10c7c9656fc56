//go:build !planted

package lease

// rules are those that Table and ExpiryClock follow. Only a build with the tag "planted" has others: see package
// failpoint.
var rules safetyRules
