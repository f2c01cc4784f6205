package strict_test

import (
	"testing"

	"github.com/frankban/quicktest"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep/internal/strict"
)

// TestObject checks the accepted values of each kind of field.
func TestObject(t *testing.T) {
	cases := map[string]struct {
		text string
		read func(o *strict.Object)
		want string // want is the expected error, empty for none.
	}{
		"text":                            {`{"f":"a"}`, func(o *strict.Object) { o.Text("f") }, ""},
		"empty text":                      {`{"f":""}`, func(o *strict.Object) { o.Text("f") }, ""},
		"text missing":                    {`{"F":"a"}`, func(o *strict.Object) { o.Text("f") }, `field "f" is missing`},
		"text is null":                    {`{"f":null}`, func(o *strict.Object) { o.Text("f") }, `field "f" is of another type`},
		"name":                            {`{"f":"a"}`, func(o *strict.Object) { o.NonEmptyText("f") }, ""},
		"empty name":                      {`{"f":""}`, func(o *strict.Object) { o.NonEmptyText("f") }, `field "f" is empty`},
		"one of two":                      {`{"f":"b"}`, func(o *strict.Object) { o.OneOf("f", "a", "b") }, ""},
		"none of two":                     {`{"f":"c"}`, func(o *strict.Object) { o.OneOf("f", "a", "b") }, `field "f" is none of \["a" "b"\]`},
		"address":                         {`{"f":"10.0.0.1:80"}`, func(o *strict.Object) { o.AddrPort("f") }, ""},
		"IPv6 address":                    {`{"f":"[fd00::1]:80"}`, func(o *strict.Object) { o.AddrPort("f") }, ""},
		"unspecified address":             {`{"f":"[::]:80"}`, func(o *strict.Object) { o.AddrPort("f") }, `field "f" is no IP and port`},
		"host name as an address":         {`{"f":"a.example:80"}`, func(o *strict.Object) { o.AddrPort("f") }, `field "f" is no IP and port`},
		"address missing":                 {`{}`, func(o *strict.Object) { o.AddrPort("f") }, `field "f" is missing`},
		"integer value":                   {`{"f":-3}`, func(o *strict.Object) { o.Int("f") }, ""},
		"fraction for an integer":         {`{"f":0.5}`, func(o *strict.Object) { o.Int("f") }, `field "f" is of another type`},
		"integer beyond 64 bits":          {`{"f":9223372036854775808}`, func(o *strict.Object) { o.Int("f") }, `field "f" is of another type`},
		"count":                           {`{"f":1}`, func(o *strict.Object) { o.PositiveInt("f") }, ""},
		"positive integer of 0":           {`{"f":0}`, func(o *strict.Object) { o.PositiveInt("f") }, `field "f" is no count`},
		"positive integer beyond 32 bits": {`{"f":2147483648}`, func(o *strict.Object) { o.PositiveInt("f") }, `field "f" is no count`},
		"number":                          {`{"f":0.5}`, func(o *strict.Object) { o.Float("f") }, ""},
		"number as a text":                {`{"f":"0.5"}`, func(o *strict.Object) { o.Float("f") }, `field "f" is of another type`},
		"flag":                            {`{"f":false}`, func(o *strict.Object) { o.Bool("f") }, ""},
		"boolean as a number":             {`{"f":0}`, func(o *strict.Object) { o.Bool("f") }, `field "f" is of another type`},
		"list":                            {`{"f":[{},{"a":1}]}`, func(o *strict.Object) { o.Objects("f") }, ""},
		"list of strings":                 {`{"f":["a"]}`, func(o *strict.Object) { o.Objects("f") }, `field "f" is of another type`},
		"list with a null":                {`{"f":[null]}`, func(o *strict.Object) { o.Objects("f") }, `field "f" is of another type`},
		"the first error":                 {`{"f":1}`, func(o *strict.Object) { o.Text("f"); o.Text("g") }, `field "f" is of another type`},
		"null for an object":              {`null`, func(*strict.Object) {}, "the bytes are no JSON object"},
		"list for an object":              {`[]`, func(*strict.Object) {}, "the bytes are no JSON object"},
		"two objects":                     {`{}{}`, func(*strict.Object) {}, "the bytes are no JSON object"},
		"no data":                         {``, func(*strict.Object) {}, "the bytes are no JSON object"},
		"invalid UTF-8":                   {"{\"\xff\":1}", func(*strict.Object) {}, "the bytes are no UTF-8"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			o := strict.Parse([]byte(tc.text))
			tc.read(o)
			if tc.want == "" {
				quicktest.Check(t, o.Err(), quicktest.IsNil)
				return
			}
			quicktest.Check(t, o.Err(), quicktest.ErrorMatches, tc.want)
		})
	}
}

func TestReasonOf(t *testing.T) {
	wrapped := eris.Wrap(strict.Errorf(strict.ReasonWrongType, "t"), "outer")
	quicktest.Check(t, strict.ReasonOf(wrapped), quicktest.Equals, strict.ReasonWrongType)
	quicktest.Check(t, strict.ReasonOf(eris.New("other")), quicktest.Equals, strict.ReasonUnreadable)
	for i, f := range strict.Reasons {
		quicktest.Check(t, int(f), quicktest.Equals, i)
		quicktest.Check(t, f.String(), quicktest.Not(quicktest.Equals), "")
	}
}
