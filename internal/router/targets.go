package router

// dropRestarted drops state of earlier incarnations of targets. It is called whenever the list
// of targets has changed.
func (r *Router) dropRestarted() {
	r.balancer.DetectRestarts()
	r.pool.SetTargets(r.targets.List())
}
