package barleystep_test

import (
	"testing"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep"
)

// TestDecodeBox checks that a box decodes what a box has encoded.
func TestDecodeBox(t *testing.T) {
	cases := map[string]barleystep.Box{
		"serving":      barleystep.NewBox("b1", "h", "10.0.0.1:80", false),
		"leaving":      barleystep.NewBox("b1", "h", "10.0.0.1:80", true),
		"IPv6 address": barleystep.NewBox("b1", "h", "[fd00::1]:80", false),
	}
	for name, b := range cases {
		t.Run(name, func(t *testing.T) {
			value, err := barleystep.EncodeBox(b)
			quicktest.Assert(t, err, quicktest.IsNil)
			got, err := barleystep.DecodeBox(barleystep.NewRecord(string(b.ID()), value))
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Check(t, got == b, quicktest.IsTrue)
		})
	}
}

// invalidBoxes are records that no box writes.
var invalidBoxes = map[string]string{
	"nothing":               ``,
	"no JSON":               `{"hall"`,
	"null":                  `null`,
	"a list":                `[]`,
	"no fields":             `{}`,
	"no hall":               `{"addr":"10.0.0.1:80"}`,
	"empty hall":            `{"hall":"","addr":"10.0.0.1:80"}`,
	"hall is a number":      `{"hall":1,"addr":"10.0.0.1:80"}`,
	"no address":            `{"hall":"h"}`,
	"address is null":       `{"hall":"h","addr":null}`,
	"address is a name":     `{"hall":"h","addr":"box.example:80"}`,
	"address with port 0":   `{"hall":"h","addr":"10.0.0.1:0"}`,
	"unspecified address":   `{"hall":"h","addr":"0.0.0.0:80"}`,
	"leaving is a text":     `{"hall":"h","addr":"10.0.0.1:80","leaving":"no"}`,
	"leaving is null":       `{"hall":"h","addr":"10.0.0.1:80","leaving":null}`,
	"a target's own record": `{"service":"lm","address":"10.0.0.1:80","zone":"z","slots":16,"state":"ready"}`,
}

func TestDecodeBoxRefused(t *testing.T) {
	for name, value := range invalidBoxes {
		t.Run(name, func(t *testing.T) {
			got, err := barleystep.DecodeBox(barleystep.NewRecord("b1", []byte(value)))
			quicktest.Assert(t, err, quicktest.ErrorMatches, `barleystep: decode box "b1": .*`)
			quicktest.Check(t, got == barleystep.Box{}, quicktest.IsTrue)
		})
	}
	_, err := barleystep.DecodeBox(barleystep.NewRecord("", []byte(`{"hall":"h","addr":"10.0.0.1:80"}`)))
	quicktest.Check(t, err, quicktest.ErrorMatches, `barleystep: decode box "": .*`)
}

// FuzzDecodeBox checks that any value is either refused or decoded to a box whose fields are
// all set.
func FuzzDecodeBox(f *testing.F) {
	for _, value := range invalidBoxes {
		f.Add("b1", []byte(value))
	}
	f.Add("b1", []byte(`{"hall":"h","addr":"10.0.0.1:80","leaving":true}`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		got, err := barleystep.DecodeBox(barleystep.NewRecord(key, value))
		if err != nil {
			quicktest.Check(t, got == barleystep.Box{}, quicktest.IsTrue)
			return
		}
		valid := string(got.ID()) == key && key != "" && got.Hall() != "" && got.Addr() != ""
		quicktest.Check(t, valid, quicktest.IsTrue)
	})
}
