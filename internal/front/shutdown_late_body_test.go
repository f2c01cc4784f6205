package front_test

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestShutdownLateBody checks that a request whose body is incomplete when the box begins to refuse
// others is refused at once. It guards against requests that pass the check at their start and are
// sent to a target much later.
func TestShutdownLateBody(t *testing.T) {
	c := quicktest.New(t)
	f, manual, _ := newSingleEngineFixture(t, eventStream(1, 2, false))
	caller := f.startPartialBody(t)
	f.front.BeginShutdown(manual.Now().Add(time.Hour))
	f.front.RejectNew()
	_, err := io.WriteString(caller, "rest")
	c.Assert(err, quicktest.IsNil)
	c.Assert(caller.SetReadDeadline(time.Now().Add(20*time.Second)), quicktest.IsNil)
	got, err := http.ReadResponse(bufio.NewReader(caller), nil)
	c.Assert(err, quicktest.IsNil)
	defer got.Body.Close()
	c.Check(got.StatusCode, quicktest.Equals, http.StatusServiceUnavailable)
	c.Check(f.target.requestCount(), quicktest.Equals, 0)
}
