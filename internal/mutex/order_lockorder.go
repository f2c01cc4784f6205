//go:build lockorder

package mutex

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"

	"github.com/petermattis/goid"
	"github.com/sasha-s/go-deadlock"
)

// order is the graph of all locks, with who holds them. The library compares pairs of locks only; the
// graph has the circles of three and more.
var order = struct {
	sync.Mutex
	held map[int64][]*vertex
}{held: make(map[int64][]*vertex)}

// vertex is a lock in the graph. It outlives the lock.
type vertex struct {
	// next holds the locks that were taken while this one was held, each with the stack of the first time.
	next map[*vertex][]uintptr
}

// node is the part of a lock that leads to the graph.
type node struct {
	vertex *vertex
	// owner is the goroutine that holds the lock for writing.
	owner int64
}

// acquire notes that the calling goroutine is about to take the lock, and reports a circle.
func (n *node) acquire() {
	id := goid.Get()
	var circle []*vertex
	order.Lock()
	if n.vertex == nil {
		n.vertex = &vertex{next: make(map[*vertex][]uintptr)}
	}
	for _, h := range order.held[id] {
		if c := h.precede(n.vertex); c != nil {
			circle = c
		}
	}
	order.held[id] = append(order.held[id], n.vertex)
	order.Unlock()
	if circle != nil {
		report(circle)
	}
}

// own notes that the calling goroutine holds the lock for writing.
func (n *node) own() {
	order.Lock()
	defer order.Unlock()
	n.owner = goid.Get()
}

// release notes that the lock is no longer held for writing.
func (n *node) release() {
	order.Lock()
	defer order.Unlock()
	drop(n.owner, n.vertex)
}

// releaseRead notes that the calling goroutine no longer reads.
func (n *node) releaseRead() {
	order.Lock()
	defer order.Unlock()
	drop(goid.Get(), n.vertex)
}

// drop takes a lock off those that a goroutine holds.
func drop(id int64, v *vertex) {
	held := order.held[id]
	for i := len(held) - 1; i >= 0; i-- {
		if held[i] == v {
			held = slices.Delete(held, i, i+1)
			break
		}
	}
	if len(held) == 0 {
		delete(order.held, id)
		return
	}
	order.held[id] = held
}

// precede notes that w is taken while v is held. It returns the circle of three or more locks that this
// closes, if any.
func (v *vertex) precede(w *vertex) (circle []*vertex) {
	if _, known := v.next[w]; known || v == w {
		return nil
	}
	stack := make([]uintptr, maxFrames)
	v.next[w] = stack[:runtime.Callers(callersOfLock, stack)]
	path := w.path(v, make(map[*vertex]bool))
	if len(path) < 3 {
		return nil // The library reports pairs.
	}
	return path
}

const (
	maxFrames = 24
	// callersOfLock leaves out runtime.Callers, precede, acquire and the lock's own method.
	callersOfLock = 4
)

// path returns the locks from v to the last one, nil if the order has no such path.
func (v *vertex) path(last *vertex, seen map[*vertex]bool) []*vertex {
	if v == last {
		return []*vertex{v}
	}
	seen[v] = true
	for w := range v.next {
		if seen[w] {
			continue
		}
		if rest := w.path(last, seen); rest != nil {
			return append([]*vertex{v}, rest...)
		}
	}
	return nil
}

// report prints where each lock of the circle was taken while the one before it was held, and does what
// the library does about two locks.
func report(circle []*vertex) {
	var text strings.Builder
	fmt.Fprintf(&text, "POTENTIAL DEADLOCK: %d locks are taken in a circle.\n", len(circle))
	order.Lock()
	for i, v := range circle {
		w := circle[(i+1)%len(circle)]
		fmt.Fprintf(&text, "\nLock %p is taken while %p is held:\n", w, v)
		frames := runtime.CallersFrames(v.next[w])
		for more := true; more; {
			var f runtime.Frame
			f, more = frames.Next()
			fmt.Fprintf(&text, "%s\n\t%s:%d\n", f.Function, f.File, f.Line)
		}
	}
	order.Unlock()
	fmt.Fprintln(deadlock.Opts.LogBuf, text.String())
	deadlock.Opts.OnPotentialDeadlock()
}
