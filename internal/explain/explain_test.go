package explain_test

import (
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/explain"
)

const lines = `
not a log line
box-b {"time":3000,"level":"warn","request":"r1","target":"i-2","message":"front: A try failed."}
box-a {"time":1000,"level":"info","target":"i-1","message":"follow: A target is announced."}
box-c {"time":1000,"level":"info","target":"i-1","message":"follow: A target is announced."}
box-a {"time":1000,"level":"info","target":"i-9","message":"follow: A target is announced."}
box-a {"time":2000,"level":"warn","request":"r1","target":"i-1","status":0,"message":"front: A try failed."}
box-a {"time":2000,"level":"info","request":"r2","target":"i-1","message":"front: A request ended."}
box-a {"time":3000,"level":"info","target":"i-3","told_here":true,"message":"balance: A target says that it leaves."}
box-a {"time":3000,"level":"info","target":"i-4","message":"balance: A target says that it leaves."}
box-a {"time":4000,"level":"warn","request":"r4","target":"","passed_over":["i-3 leaves, heard"],"message":"front: A request ended."}
{"message":"no time"}
{"time":1,"torn
`

func TestRequestLines(t *testing.T) {
	cases := map[string]struct {
		request string
		want    []string
	}{
		"several boxes, with target events": {"r1", []string{
			"00:00:01.000 box-a follow: A target is announced. target=i-1",
			"00:00:02.000 box-a front: A try failed. request=r1 target=i-1",
			"00:00:03.000 box-b front: A try failed. request=r1 target=i-2",
		}},
		"events of targets that were passed over": {"r4", []string{
			"00:00:03.000 box-a balance: A target says that it leaves. target=i-3 told_here=true",
			"00:00:04.000 box-a front: A request ended. passed_over=[i-3 leaves, heard] request=r4",
		}},
		"unknown": {"r3", nil},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			selected, err := explain.RequestLines(strings.NewReader(lines), tc.request)
			quicktest.Assert(t, err, quicktest.IsNil)
			var got []string
			for _, l := range selected {
				got = append(got, l.String())
			}
			quicktest.Assert(t, got, quicktest.DeepEquals, tc.want)
		})
	}
}
