package pipeline_test

import (
	"context"
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/pipeline"
)

// stage writes its name before and after the stages that follow, or ends there.
type stage struct {
	name  string
	stops bool
}

func (s stage) Run(ctx context.Context, x *strings.Builder, next pipeline.Next[*strings.Builder]) error {
	x.WriteString(s.name)
	if s.stops {
		return context.Canceled
	}
	err := next(ctx, x)
	x.WriteString(s.name)
	return err
}

// TestRun checks the order of stages, and that a stage can end the request.
func TestRun(t *testing.T) {
	cases := map[string]struct {
		stages pipeline.Pipeline[*strings.Builder]
		want   string
		err    error
	}{
		"none":                        {nil, "", nil},
		"nested stages":               {pipeline.Pipeline[*strings.Builder]{stage{"a", false}, stage{"b", false}}, "abba", nil},
		"stage that ends the request": {pipeline.Pipeline[*strings.Builder]{stage{"a", false}, stage{"b", true}, stage{"c", false}}, "aba", context.Canceled},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			quicktest.Check(t, tc.stages.Run(context.Background(), &out), quicktest.Equals, tc.err)
			quicktest.Check(t, out.String(), quicktest.Equals, tc.want)
		})
	}
}
