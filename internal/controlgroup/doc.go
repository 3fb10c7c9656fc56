// Package controlgroup is the interface between a balancer and its control group: the balancers of one
// installation that elect a holder for each duty, keep replicated state and share one watch of discovery.
//
// The package owns a group's settings (Config, LoadFile) and the types that a balancer and the group
// exchange (SharedWatch, WatchEvent). Consensus and connections are in the packages below this one; the
// code that serves requests must not link them. A balancer without a group works alone and obeys the
// same rules as a member.
//
// The programs load the settings. The balancer's runtime and its discovery watcher use SharedWatch,
// and package client implements it.
package controlgroup
