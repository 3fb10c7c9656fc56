// Package experiment runs the simulation over seeds and says what the figures are worth: means with 95%
// intervals, paired differences, sweeps over settings, bounds. It keeps results in files and draws them as
// charts and reports.
//
// A Variant says what decides, a Plan on which days; Run, Compare and Sweep play them, several days at a
// time, and give the same results whatever the number of workers. Format names the layout of result files.
// The package knows nothing of how a day is played (that is simulation, or loadtest). It is called by
// piernotch-lab.
package experiment
