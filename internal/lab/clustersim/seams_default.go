//go:build !planted

package clustersim

// steps are the steps that the simulation calls. A build with the tag "planted" uses faultySteps instead.
var steps correctSteps
