// Package soak draws, from a seed, a whole run of real processes in which everything may go wrong at once: the
// operators' settings, the fleet, the traffic, faults of servers and of discovery, signals to balancers, links
// that fall silent, and a crowd of idle clients.
//
// Where package chaos schedules faults for a given scenario, a Plan draws the scenario, too: short deadlines, a
// short grace of drains, classes of every retry safety, pushed and polled lists. Faults that concern each other
// (an outage of discovery and servers that drain at its end) are drawn close together. Links to servers stay
// healthy, so that nothing excuses an attempt that comes late.
//
// The package only draws. Package loadtest plays a plan and checks the invariants by what clients, servers and
// discovery observed; piernotch-lab is the caller.
package soak
