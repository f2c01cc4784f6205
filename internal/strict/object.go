// Package strict decodes records that anybody may have written. A field that is missing, has the
// wrong type or an invalid value is an error, where encoding/json would leave a zero value, and
// field names are case-sensitive.
package strict

import (
	"encoding/json"
	"math"
	"net/netip"
	"slices"
	"unicode/utf8"
)

// Object decodes the fields of one JSON object. It keeps the first error, so that callers decode
// all fields and then check Err once.
type Object struct {
	fields map[string]json.RawMessage
	err    error
}

// Parse returns the JSON object in data.
func Parse(data []byte) *Object {
	o := &Object{}
	if !utf8.Valid(data) {
		o.fail(Errorf(ReasonUnreadable, "the bytes are no UTF-8"))
		return o
	}
	if err := json.Unmarshal(data, &o.fields); err != nil || o.fields == nil {
		o.fail(Errorf(ReasonUnreadable, "the bytes are no JSON object"))
	}
	return o
}

// Err returns the first error, nil if there was none.
func (o *Object) Err() error { return o.err }

func (o *Object) fail(e *Error) {
	if o.err == nil {
		o.err = e
	}
}

// Has reports whether the field is present, of whatever type. It is for optional fields.
func (o *Object) Has(name string) bool {
	_, ok := o.fields[name]
	return ok
}

// decode decodes a field. A null, which encoding/json ignores, counts as the wrong type.
func (o *Object) decode(name string, out any) bool {
	raw, ok := o.fields[name]
	if !ok {
		o.fail(Errorf(ReasonMissing, "field %q is missing", name))
		return false
	}
	if string(raw) == "null" || json.Unmarshal(raw, out) != nil {
		o.fail(Errorf(ReasonWrongType, "field %q is of another type", name))
		return false
	}
	return true
}

// Text returns a string.
func (o *Object) Text(name string) (s string) {
	o.decode(name, &s)
	return s
}

// NonEmptyText returns a string that is not empty.
func (o *Object) NonEmptyText(name string) (s string) {
	if o.decode(name, &s) && s == "" {
		o.fail(Errorf(ReasonInvalidValue, "field %q is empty", name))
	}
	return s
}

// OneOf returns a string, which must be one of known.
func (o *Object) OneOf(name string, known ...string) (s string) {
	if o.decode(name, &s) && !slices.Contains(known, s) {
		o.fail(Errorf(ReasonUnknownValue, "field %q is none of %q", name, known))
	}
	return s
}

// AddrPort returns a string, which must be a specific IP address with a port.
func (o *Object) AddrPort(name string) (s string) {
	if !o.decode(name, &s) {
		return ""
	}
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		o.fail(Errorf(ReasonInvalidValue, "field %q is no IP and port", name))
	}
	return s
}

// Int returns an integer.
func (o *Object) Int(name string) (n int64) {
	o.decode(name, &n)
	return n
}

// PositiveInt returns an integer above 0 that fits 32 bits.
func (o *Object) PositiveInt(name string) int {
	n := o.Int(name)
	if n <= 0 || n > math.MaxInt32 {
		o.fail(Errorf(ReasonInvalidValue, "field %q is no count", name))
		return 0
	}
	return int(n)
}

// Float returns a number.
func (o *Object) Float(name string) (f float64) {
	o.decode(name, &f)
	return f
}

// Bool returns a boolean.
func (o *Object) Bool(name string) (b bool) {
	o.decode(name, &b)
	return b
}

// Objects returns the objects of an array.
func (o *Object) Objects(name string) []*Object {
	var raw []json.RawMessage
	if !o.decode(name, &raw) {
		return nil
	}
	list := make([]*Object, len(raw))
	for i, r := range raw {
		list[i] = Parse(r)
		if list[i].err != nil {
			o.fail(Errorf(ReasonWrongType, "field %q is of another type", name))
		}
	}
	return list
}
