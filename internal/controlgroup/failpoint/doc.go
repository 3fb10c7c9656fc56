// Package failpoint enables deliberate faults, which show that the tests and the simulation of the control group
// find the faults that they are for.
//
// A fault is known by its name. Code that has one asks Enabled; the faults and what each breaks are listed in
// package clustersim (Plants). Only a build with the tag "planted" can enable a fault. In all others Enabled is
// constant, and the compiler removes what depends on it.
//
// The packages of the control group call Enabled, tests call Enable. The package must not know its callers.
package failpoint
