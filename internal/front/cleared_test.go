package front_test

import (
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/suspect"
)

// TestClearedPart guards against sound requests that run one after the other although the part that
// they share is no longer suspected: once one of them is answered, all others run at the same time.
func TestClearedPart(t *testing.T) {
	const others = 4
	c := quicktest.New(t)
	release := make(chan struct{})
	answer := completeAnswer(http.StatusOK, sealed, "good")
	steps := []step{func(k net.Conn, r *http.Request) bool { <-release; return answer(k, r) }}
	var arrived sync.WaitGroup
	arrived.Add(others)
	for range others {
		steps = append(steps, func(k net.Conn, r *http.Request) bool {
			arrived.Done()
			arrived.Wait()
			return answer(k, r)
		})
	}
	f := newFixture(t, state{view: newView()}, steps...)
	shared := suspect.Subject{Request: suspect.Request{Body: []byte("ended")}.Digest(), Parts: []suspect.Digest{suspect.Part{Service: "s", ID: "shared"}.Digest()}}
	f.front.Balancer.Suspects.RecordEndOf(shared, suspect.NewEnd(1, time.Now(), suspect.BeforeFirstEvent|suspect.RanAlone))
	replies := make(chan reply, others+1)
	send := func(i int) {
		replies <- f.do(t, http.MethodPost, "/again/", fmt.Sprint(i), "Id", fmt.Sprint("r", i), "Part", "shared")
	}
	go send(0)
	for f.target.requestCount() == 0 {
		runtime.Gosched()
	}
	for i := range others {
		go send(1 + i)
	}
	f.waitRunning(1 + others)
	close(release)
	for n := 0; n < 1+others; {
		f.front.Balancer.SetOthers(balance.NewSnapshot()) // News from other boxes have queues served.
		select {
		case got := <-replies:
			c.Check(got.status, quicktest.Equals, http.StatusOK)
			n++
		default:
			runtime.Gosched()
		}
	}
}
