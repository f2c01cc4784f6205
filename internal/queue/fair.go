// Package queue implements a weighted fair queue for requests that wait for capacity. It is fair in
// cost between flows and serves the oldest entry of a flow first.
package queue

import (
	"container/heap"
	"sort"
	"time"
)

// Entry is one waiting item.
type Entry[T any] struct {
	Item T
	// Since orders the entries of a flow, oldest first. An item that is queued again keeps its Since.
	Since time.Time
	// Cost is the cost of serving the item, in tokens.
	Cost float64
}

// Fair is a start-time fair queue. Flows with entries share the service in proportion to their
// weights. The zero value is an empty queue. It is not safe for concurrent use.
//
// If the weights of all flows add up to W, the head entry of a flow with weight w, of cost c, waits no
// longer than it takes to serve c*W/w plus one largest entry of each other flow.
type Fair[T any] struct {
	flows       map[string]*flow[T]
	active      flowHeap[T]
	virtualTime float64
	length      int
	cost        float64
}

type flow[T any] struct {
	name      string
	weight    float64
	start     float64 // start is the virtual time at which the head begins.
	entries   []Entry[T]
	heapIndex int // heapIndex is the position in the heap, -1 while the flow is idle.
}

// maxSkipped bounds how many heads that do not fit are skipped in one call of Take.
const maxSkipped = 32

// Len returns the number of waiting entries.
func (q *Fair[T]) Len() int { return q.length }

// Cost returns the total cost of the waiting entries.
func (q *Fair[T]) Cost() float64 { return q.cost }

// Push adds an entry to the flow, whose weight must be above 0.
func (q *Fair[T]) Push(name string, weight float64, e Entry[T]) {
	f := q.flow(name)
	f.weight = weight
	f.insert(e)
	q.length++
	q.cost += e.Cost
	if f.heapIndex < 0 {
		f.start = max(f.start, q.virtualTime)
		heap.Push(&q.active, f)
	}
}

func (q *Fair[T]) flow(name string) *flow[T] {
	if f, ok := q.flows[name]; ok {
		return f
	}
	if q.flows == nil {
		q.flows = make(map[string]*flow[T])
	}
	f := &flow[T]{name: name, heapIndex: -1}
	q.flows[name] = f
	return f
}

func (f *flow[T]) insert(e Entry[T]) {
	i := sort.Search(len(f.entries), func(i int) bool { return f.entries[i].Since.After(e.Since) })
	f.entries = append(f.entries, Entry[T]{})
	copy(f.entries[i+1:], f.entries[i:])
	f.entries[i] = e
}

// Take removes and returns the first head, in fair order, for which fits returns true. It skips a
// bounded number of heads that do not fit; they keep their position.
func (q *Fair[T]) Take(fits func(T) bool) (item T, ok bool) {
	var skipped []*flow[T]
	for len(q.active) > 0 && len(skipped) < maxSkipped {
		f := heap.Pop(&q.active).(*flow[T])
		if fits(f.entries[0].Item) {
			item, ok = q.takeHead(f), true
			break
		}
		skipped = append(skipped, f)
	}
	for _, f := range skipped {
		heap.Push(&q.active, f)
	}
	return item, ok
}

// takeHead removes and returns the head of a flow that is not on the heap.
func (q *Fair[T]) takeHead(f *flow[T]) T {
	e := f.entries[0]
	q.removeAt(f, 0)
	q.virtualTime = max(q.virtualTime, f.start)
	f.start += e.Cost / f.weight
	q.restore(f)
	return e.Item
}

func (q *Fair[T]) removeAt(f *flow[T], i int) {
	q.length--
	q.cost -= f.entries[i].Cost
	f.entries = append(f.entries[:i], f.entries[i+1:]...)
}

// restore puts a flow back on the heap if it has entries. An idle flow is kept only while its virtual
// start is ahead of the queue's virtual time.
func (q *Fair[T]) restore(f *flow[T]) {
	if len(f.entries) > 0 {
		heap.Push(&q.active, f)
		return
	}
	if f.start <= q.virtualTime {
		delete(q.flows, f.name)
	}
}

// Remove removes and returns all items for which match returns true.
func (q *Fair[T]) Remove(match func(T) bool) []T {
	var removed []T
	for _, f := range q.sortedFlows() {
		for i := len(f.entries) - 1; i >= 0; i-- {
			if match(f.entries[i].Item) {
				removed = append(removed, f.entries[i].Item)
				q.removeAt(f, i)
			}
		}
		q.removeIfIdle(f)
	}
	return removed
}

// removeIfIdle removes a flow without entries from the heap.
func (q *Fair[T]) removeIfIdle(f *flow[T]) {
	if len(f.entries) > 0 {
		return
	}
	if f.heapIndex >= 0 {
		heap.Remove(&q.active, f.heapIndex)
	}
	if f.start <= q.virtualTime {
		delete(q.flows, f.name)
	}
}

func (q *Fair[T]) sortedFlows() []*flow[T] {
	flows := make([]*flow[T], 0, len(q.flows))
	for _, f := range q.flows {
		flows = append(flows, f)
	}
	sort.Slice(flows, func(i, j int) bool { return flows[i].name < flows[j].name })
	return flows
}

type flowHeap[T any] []*flow[T]

// Len returns the number of flows with entries.
func (h flowHeap[T]) Len() int { return len(h) }

// Less orders flows by virtual start, and by name where that is equal.
func (h flowHeap[T]) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].name < h[j].name
}

// Swap exchanges two flows.
func (h flowHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push appends a flow.
func (h *flowHeap[T]) Push(x any) {
	f := x.(*flow[T])
	f.heapIndex = len(*h)
	*h = append(*h, f)
}

// Pop removes the last flow.
func (h *flowHeap[T]) Pop() any {
	old := *h
	f := old[len(old)-1]
	f.heapIndex = -1
	*h = old[:len(old)-1]
	return f
}
