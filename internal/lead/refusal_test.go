package lead_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/frankban/quicktest"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	placementv1 "github.com/barleystep/barleystep/api/placement/v1"
	"github.com/barleystep/barleystep/api/placement/v1/placementv1connect"
	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/lead"
	"github.com/barleystep/barleystep/internal/metric"
)

// refusingLead is a lead that refuses all prompts with the given details.
type refusingLead struct {
	placementv1connect.UnimplementedPlacementServiceHandler
	details []proto.Message
}

// Place refuses the prompt.
func (l *refusingLead) Place(context.Context, *connect.Request[placementv1.PlaceRequest]) (*connect.Response[placementv1.PlaceResponse], error) {
	err := connect.NewError(connect.CodeResourceExhausted, balance.ErrFull)
	for _, m := range l.details {
		detail, failure := connect.NewErrorDetail(m)
		if failure != nil {
			return nil, failure
		}
		err.AddDetail(detail)
	}
	return nil, err
}

// TestRefusalDecoded checks which times of a lead's refusals a box uses, and that it counts and
// ignores others: those of an older lead, which sends none, and those that are unreadable or absurd.
// Whatever the time, the request is refused.
func TestRefusalDecoded(t *testing.T) {
	const name = "type.googleapis.com/placement.v1.RefusedDetail"
	ms := func(n int64) proto.Message { return &placementv1.RefusedDetail{RetryAfterMs: n} }
	cases := map[string]struct {
		details []proto.Message
		want    time.Duration
		result  string
	}{
		"time":             {[]proto.Message{ms(1234)}, 1234 * time.Millisecond, "used"},
		"after another":    {[]proto.Message{&placementv1.ReadRequest{Number: 7}, ms(1234)}, 1234 * time.Millisecond, "used"},
		"a minute":         {[]proto.Message{ms(60_000)}, time.Minute, "used"},
		"older lead":       {nil, 0, "absent"},
		"unknown":          {[]proto.Message{ms(0)}, 0, "absent"},
		"another detail":   {[]proto.Message{&placementv1.ReadRequest{Number: 7}}, 0, "absent"},
		"unreadable":       {[]proto.Message{&anypb.Any{TypeUrl: name, Value: []byte{0xff}}}, 0, "unreadable"},
		"negative":         {[]proto.Message{ms(-1)}, 0, "out_of_range"},
		"over a minute":    {[]proto.Message{ms(60_001)}, 0, "out_of_range"},
		"over all numbers": {[]proto.Message{ms(1 << 62)}, 0, "out_of_range"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			_, handler := placementv1connect.NewPlacementServiceHandler(&refusingLead{details: tc.details})
			server := httptest.NewServer(handler)
			defer server.Close()
			e, err := metric.NewExporter()
			c.Assert(err, quicktest.IsNil)
			clk := clock.NewManual(time.Unix(1000, 0))
			box := newBalancer(clk, engines...)
			box.Lead = &lead.Client{
				Clock: clk, HTTP: server.Client(), Log: quiet, Meter: e.Meter(),
				Addr: func() (string, bool) { return server.Listener.Addr().String(), true },
			}
			_, err = box.Place(context.Background(), job(210_000))
			c.Assert(eris.Is(err, balance.ErrFull), quicktest.IsTrue, quicktest.Commentf("%v", err))
			after, ok := balance.RefusedUntil(err)
			c.Check(after, quicktest.Equals, tc.want)
			c.Check(ok, quicktest.Equals, tc.want > 0)
			w := httptest.NewRecorder()
			e.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
			c.Check(strings.Contains(w.Body.String(), `result="`+tc.result+`"} 1`), quicktest.IsTrue, quicktest.Commentf("%s", w.Body))
		})
	}
}

// TestRefusalEncoded checks that a lead's refusal reaches the box with its time, rounded up to
// milliseconds, and that an older box, which reads the code only, finds the code that it knows.
func TestRefusalEncoded(t *testing.T) {
	c := quicktest.New(t)
	p := newPair(t, view, engines[:1])
	busy := balance.NewSnapshot()
	busy.Work[balance.KeyOf(string(engines[0]))] = balance.Work{Backlog: time.Minute, Long: 1}
	p.lead.SetOthers(busy)
	_, w, err := p.lead.TryPlace(context.Background(), job(210_000))
	c.Assert(err, quicktest.IsNil)
	c.Assert(w, quicktest.IsNotNil)
	p.clock.Advance(10 * time.Second) // The demand of the prompt that waits is over.
	late := job(210_000)
	late.Arrival = p.clock.Now().Add(-time.Minute) // The call for it is answered at once.

	_, err = p.box.Place(context.Background(), late)
	c.Assert(eris.Is(err, balance.ErrFull), quicktest.IsTrue, quicktest.Commentf("%v", err))
	after, ok := balance.RefusedUntil(err)
	c.Assert(ok, quicktest.IsTrue)
	spare := 0.7 - p.lead.Snapshot().Demands[balance.KeyOf("s")].Long // Of one engine.
	want := cost.Prefill(210_000).Seconds() / spare                   // The prompt that waits.
	c.Check(after-time.Duration(want*float64(time.Second)) >= 0, quicktest.IsTrue, quicktest.Commentf("%v", after))
	c.Check(after-time.Duration(want*float64(time.Second)) <= time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%v", after))
	c.Check(after%time.Millisecond, quicktest.Equals, time.Duration(0))

	addr, _ := p.box.Lead.(*lead.Client).Addr()
	old := placementv1connect.NewPlacementServiceClient(http.DefaultClient, "http://"+addr)
	_, err = old.Place(context.Background(), connect.NewRequest(&placementv1.PlaceRequest{
		Service: "s", Prompt: 210_000, Output: 100, ObjectiveMs: 3000, WaitedMs: 60_000,
	}))
	c.Check(connect.CodeOf(err), quicktest.Equals, connect.CodeResourceExhausted)
}
