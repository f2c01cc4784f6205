package front

import (
	"cmp"
	"slices"

	"github.com/barleystep/barleystep/internal/mutex"
)

// activeRequests is the set of requests being served. The zero value is empty.
type activeRequests struct {
	mu       mutex.Mutex
	requests map[*Exchange]struct{}
}

// add adds a request.
func (r *activeRequests) add(x *Exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.requests == nil {
		r.requests = make(map[*Exchange]struct{})
	}
	r.requests[x] = struct{}{}
}

// remove removes a request.
func (r *activeRequests) remove(x *Exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.requests, x)
}

// count returns the number of requests being served.
func (r *activeRequests) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.requests)
}

// oldest returns at most limit requests, those that have been served longest first.
func (r *activeRequests) oldest(limit int) []*Exchange {
	r.mu.Lock()
	list := make([]*Exchange, 0, len(r.requests))
	for x := range r.requests {
		list = append(list, x)
	}
	r.mu.Unlock()
	slices.SortFunc(list, func(a, b *Exchange) int {
		return cmp.Or(a.started.Compare(b.started), cmp.Compare(a.call.RequestID, b.call.RequestID))
	})
	return list[:min(limit, len(list))]
}
