// Package controlgroup is the interface between a balancer and its control group: the balancers of one
// installation that elect leaders for duties, keep replicated state and share one watch of discovery.
//
// The package owns the settings of a group (Config, LoadFile) and the types that cross the border
// between a balancer and the group (SharedWatch, WatchEvent). It knows neither the voters' consensus
// nor connections: those are in the packages below this one, and what serves requests must not link
// them. A balancer without a group works alone and keeps every rule.
//
// Callers are the programs, which load the settings; the balancer's runtime and its discovery
// watcher, which use SharedWatch; and the packages below, which implement it.
package controlgroup
