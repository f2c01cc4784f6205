//go:build lockorder

package mutex_test

import (
	"strings"
	"sync"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/sasha-s/go-deadlock"

	"github.com/barleystep/barleystep/internal/mutex"
)

// nest takes the locks one inside the other, in a goroutine of its own.
func nest(locks ...sync.Locker) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, l := range locks {
			l.Lock()
			defer l.Unlock()
		}
	}()
	<-done
}

// TestOrder guards against a check that misses locks in two orders or in a circle, or finds one where
// there is none. Letters are locks, and words the order in which a goroutine takes them; r is a lock for
// reading.
func TestOrder(t *testing.T) {
	cases := map[string]struct {
		words []string
		found bool
	}{
		"one order":              {[]string{"ab", "bc", "ac", "abc"}, false},
		"one after the other":    {[]string{"ab", "b", "a"}, false},
		"two locks":              {[]string{"ab", "ba"}, true},
		"two locks among others": {[]string{"xayb", "bza"}, true},
		"three locks":            {[]string{"ab", "bc", "ca"}, true},
		"four locks":             {[]string{"ab", "cd", "da", "bc"}, true},
		"a reader":               {[]string{"ar", "rb", "ba"}, true},
		"a tree":                 {[]string{"ab", "ac", "bd", "cd"}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			found, text := 0, new(strings.Builder)
			deadlock.Opts.OnPotentialDeadlock, deadlock.Opts.LogBuf = func() { found++ }, text
			locks := map[rune]sync.Locker{'r': new(mutex.RWMutex).RLocker()}
			for _, word := range tc.words {
				var nested []sync.Locker
				for _, letter := range word {
					if locks[letter] == nil {
						locks[letter] = new(mutex.Mutex)
					}
					nested = append(nested, locks[letter])
				}
				nest(nested...)
			}
			quicktest.Check(t, found > 0, quicktest.Equals, tc.found)
			quicktest.Check(t, strings.Contains(text.String(), "mutex_test.nest"), quicktest.Equals, tc.found)
		})
	}
}
