package box

import (
	"fmt"
	"net/http"
)

// status serves metrics and the two health checks.
func (e *Entry) status() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", e.Exporter)
	mux.HandleFunc("GET /livez", livez)
	mux.HandleFunc("GET /readyz", e.readyz)
	return mux
}

// readyz answers 200 if the load balancer should send callers to this box.
func (e *Entry) readyz(w http.ResponseWriter, _ *http.Request) {
	v, confirmed := e.node.follower.View()
	switch {
	case e.server.IsShuttingDown():
		http.Error(w, fmt.Sprintf("stopping; %d requests run", e.Running()), http.StatusServiceUnavailable)
	case v == nil:
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	case !confirmed:
		fmt.Fprintf(w, "ok; configuration %d is not confirmed\n", v.Version())
	default:
		fmt.Fprintf(w, "ok; configuration %d\n", v.Version())
	}
}
