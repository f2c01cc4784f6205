package front

import (
	"cmp"
	"slices"
	"sync"
)

// roster is the set of the requests that are being served. Its zero value is empty.
type roster struct {
	mu      sync.Mutex
	running map[*Exchange]struct{}
}

// add enters a request.
func (r *roster) add(x *Exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running == nil {
		r.running = make(map[*Exchange]struct{})
	}
	r.running[x] = struct{}{}
}

// remove takes a request out.
func (r *roster) remove(x *Exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, x)
}

// size returns how many requests are being served.
func (r *roster) size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.running)
}

// oldest returns the requests that have been served for the longest, at most so many.
func (r *roster) oldest(most int) []*Exchange {
	r.mu.Lock()
	list := make([]*Exchange, 0, len(r.running))
	for x := range r.running {
		list = append(list, x)
	}
	r.mu.Unlock()
	slices.SortFunc(list, func(a, b *Exchange) int {
		return cmp.Or(a.started.Compare(b.started), cmp.Compare(a.call.RequestID, b.call.RequestID))
	})
	return list[:min(most, len(list))]
}
