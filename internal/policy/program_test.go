package policy_test

import (
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/policy"
)

var input = policy.Input{Account: "a", Weight: 2, Rate: 100, Labels: []string{"quotes"}, Class: "urgent", Rank: 1}

func TestShare(t *testing.T) {
	cases := map[string]struct {
		program string
		want    policy.Share
		err     string
	}{
		"nothing changed":  {`{}`, policy.Share{Weight: 2, Rate: 100, Rank: 1, Limit: 1}, ""},
		"all set":          {`{"weight": weight * 2.0, "rate": 5.0, "rank": 0, "limit": 0.5}`, policy.Share{Weight: 4, Rate: 5, Limit: 0.5}, ""},
		"by label":         {`"quotes" in labels ? {"rank": rank - 1} : {}`, policy.Share{Weight: 2, Rate: 100, Limit: 1}, ""},
		"syntax":           {`{"weight": `, policy.Share{}, `(?s).*<input>:1:12.*`},
		"unknown variable": {`{"weight": now}`, policy.Share{}, `(?s).*undeclared reference to 'now'.*`},
		"unknown result":   {`{"colour": 1}`, policy.Share{}, `.*colour is unknown.*`},
		"not a number":     {`{"weight": "much"}`, policy.Share{}, `.*must be a number`},
		"not a map":        {`1`, policy.Share{}, `.*must be a map`},
		"weight of zero":   {`{"weight": 0}`, policy.Share{}, `.*must be above 0`},
		"limit above one":  {`{"limit": 1.5}`, policy.Share{}, `.*at most 1`},
		"division by zero": {`{"weight": 1 / (rank - 1)}`, policy.Share{}, `.*division by zero`},
		"too long":         {strings.Repeat(" ", policy.MaxProgramSize+1), policy.Share{}, `.*at most 16384 are allowed`},
		"too much memory":  {`[1,2,3,4,5,6,7,8].map(a, [1,2,3,4,5,6,7,8].map(b, [1,2,3,4,5,6,7,8].map(c, [1,2,3,4,5,6,7,8].map(d, account + account)))).size() > 0 ? {} : {}`, policy.Share{}, `.*cost limit.*`},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			p, err := policy.Compile("p", tc.program)
			var got policy.Share
			if err == nil {
				got, err = p.Share(input)
			}
			if tc.err != "" {
				c.Assert(err, quicktest.ErrorMatches, tc.err)
				return
			}
			c.Assert(err, quicktest.IsNil)
			c.Check(got, quicktest.Equals, tc.want)
		})
	}
}

// BenchmarkCapacityPolicy measures one evaluation for an account and a class. Programs are
// evaluated when a version is accepted, not for each request.
func BenchmarkCapacityPolicy(b *testing.B) {
	p, err := policy.Compile("p", `class == "urgent" ? {"weight": weight * 4.0} : "archive" in labels ? {"limit": 0.5} : {}`)
	quicktest.Assert(b, err, quicktest.IsNil)
	b.ReportAllocs()
	for b.Loop() {
		_, err := p.Share(input)
		quicktest.Assert(b, err, quicktest.IsNil)
	}
}
