// Package soak draws a whole run of real processes, with many kinds of faults at once, from a seed: the operators'
// settings, the fleet, the traffic, faults of servers and of discovery, signals to balancers, links that fall silent,
// and a crowd of idle clients.
//
// Package chaos schedules faults for a given scenario. A Plan also draws the scenario: for example short
// deadlines, short grace periods of draining servers, request classes with any retry safety, and endpoint lists that
// are pushed or polled. Faults that interact (an outage of discovery and servers that drain around its end) are drawn
// close together. Links to servers stay healthy: a fault there would excuse late attempts.
//
// The package only draws. Package loadtest plays a plan, and checks the invariants against what clients, servers and
// discovery observed. The caller is piernotch-lab.
package soak
