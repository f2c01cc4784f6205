// Package lab measures how well targets are chosen. It drives the real balancers of several boxes,
// with a lead and delayed gossip, over engines that follow the published cost model, in simulated
// time. Scenarios are drawn from distributions, and the same seed gives the same day. The balancer
// is compared with simple policies and with an upper bound for every policy.
package lab
