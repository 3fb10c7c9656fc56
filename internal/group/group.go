// Package group is the one seam between a balancer and what balancers do together: duties that
// one of them holds, copies that outlive a machine, changes in stages. All of that lives in
// packages below this one, which the balancer does not link. Without it every balancer serves
// alone, and keeps every rule.
package group
