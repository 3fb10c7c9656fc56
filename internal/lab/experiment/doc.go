// Package experiment runs the simulation over seeds and estimates the figures: means with 95% intervals, paired
// differences, sweeps over settings, thresholds. It owns the form of result files, and draws results as charts
// and reports.
//
// A Variant says what decides, a Plan on which realizations; Run, Compare and Sweep play them, several at a
// time, and give the same results whatever the number of workers. Format names the layout of result files.
// The package must not know how a realization is played (that is simulation, or loadtest). It is called by
// piernotch-lab.
package experiment
