package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/barleystep/barleystep/internal/engine"
)

// Order is the body of an order to a target.
type Order struct {
	Weights string `json:"weights"`
}

// order executes an order. With ChecksFence it answers 409 to one whose fencing token is older than
// the last one.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	fence, err := strconv.ParseInt(r.Header.Get(engine.HeaderFence), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var o Order
	if err := json.NewDecoder(io.LimitReader(r.Body, readLimit)).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders++
	if e.ChecksFence && fence < e.fence {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.fence = fence
	e.weights = o.Weights
	w.WriteHeader(http.StatusNoContent)
}

// Orders returns the number of valid orders received, including refused ones.
func (e *Engine) Orders() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders
}

// Weights returns the version of the weights in the last executed order.
func (e *Engine) Weights() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.weights
}
