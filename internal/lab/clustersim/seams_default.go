//go:build !planted

package clustersim

// steps are those of the simulation. Only a build with the tag "planted" has others: see package failpoint.
var steps correctSteps
