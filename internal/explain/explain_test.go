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
{"message":"no time"}
{"time":1,"torn
`

func TestStory(t *testing.T) {
	cases := map[string]struct {
		request string
		want    []string
	}{
		"over boxes, with its targets": {"r1", []string{
			"00:00:01.000 box-a follow: A target is announced. target=i-1",
			"00:00:02.000 box-a front: A try failed. request=r1 target=i-1",
			"00:00:03.000 box-b front: A try failed. request=r1 target=i-2",
		}},
		"unknown": {"r3", nil},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			story, err := explain.Story(strings.NewReader(lines), tc.request)
			quicktest.Assert(t, err, quicktest.IsNil)
			var got []string
			for _, l := range story {
				got = append(got, l.String())
			}
			quicktest.Assert(t, got, quicktest.DeepEquals, tc.want)
		})
	}
}
