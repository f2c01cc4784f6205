package router

// renew drops what belongs to earlier lifetimes of the targets. It is called whenever their
// list has changed.
func (r *Router) dropRestarted() {
	r.balancer.DetectRestarts()
	r.pool.SetTargets(r.targets.List())
}
