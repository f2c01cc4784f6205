// Package lab measures how targets are chosen. It drives the real balancers of
// several boxes, with a lead and the age of what they tell each other, over engines
// that follow the published cost model, in simulated time. Loads are drawn from
// distributions; the same seed gives the same day. Beside the balancer stand simple
// policies and a bound that no policy can exceed.
package lab
