package suspect_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/suspect"
)

// subjectOf returns the subject of a request of an account with some parts. Its body is its own.
func subjectOf(account string, parts ...string) suspect.Subject {
	body := fmt.Sprint(account, parts)
	s := suspect.Subject{Account: suspect.AccountKey(account), BodySize: len(body)}
	s.Request = suspect.Request{Account: account, Body: []byte(body)}.Digest()
	for _, id := range parts {
		s.Parts = append(s.Parts, suspect.Part{Service: "s", ID: id}.Digest())
	}
	return s
}

// TestAssess checks how a request may run, given what happened to targets that had others with the
// same parts: a part is to blame only as far as no other one explains the same ends.
func TestAssess(t *testing.T) {
	const (
		beside = suspect.BeforeFirstEvent
		alone  = suspect.BeforeFirstEvent | suspect.RanAlone
	)
	type step func(b *suspect.Registry, clk *clock.Manual)
	end := func(key uint32, flags suspect.EndFlags, account string, parts ...string) step {
		return func(b *suspect.Registry, clk *clock.Manual) {
			s := subjectOf(account, append(parts, fmt.Sprint("own ", key))...) // No two requests are alike.
			s.Parts = s.Parts[:len(parts)]
			b.RecordEndOf(s, suspect.NewEnd(key, clk.Now(), flags))
		}
	}
	begun := func(parts ...string) step {
		return func(b *suspect.Registry, _ *clock.Manual) { b.RecordAnswerStartOf(subjectOf("acme", parts...)) }
	}
	three := func(account string, parts ...string) []step {
		return []step{end(1, beside, account, parts...), end(2, alone, account, parts...), end(3, alone, account, parts...)}
	}
	// many returns ends under bad, the first three of them also under another part.
	many := func(account string, n uint32, other string) (steps []step) {
		for key := range n {
			parts := []string{"bad"}
			if key < 3 {
				parts = []string{other, "bad"}
			}
			steps = append(steps, end(key, alone, account, parts...))
		}
		return steps
	}
	join := func(steps []step, more ...step) []step { return append(steps[:len(steps):len(steps)], more...) }
	cases := map[string]struct {
		steps   []step
		account string
		parts   []string
		want    suspect.Status
	}{
		"no evidence":                              {nil, "acme", []string{"bad"}, suspect.Allowed},
		"one end beside others":                    {[]step{end(1, beside, "acme", "bad")}, "acme", []string{"bad"}, suspect.Allowed},
		"one end alone":                            {[]step{end(1, alone, "acme", "bad")}, "acme", []string{"bad"}, suspect.Isolated},
		"two ends beside others":                   {[]step{end(1, beside, "acme", "bad"), end(2, beside, "acme", "bad")}, "acme", []string{"bad"}, suspect.Isolated},
		"ends after the answer had begun":          {[]step{end(1, 0, "acme", "bad"), end(2, 0, "acme", "bad"), end(3, 0, "acme", "bad")}, "acme", []string{"bad"}, suspect.Allowed},
		"many ends beside others":                  {[]step{end(1, beside, "acme", "p"), end(2, beside, "acme", "p"), end(3, beside, "acme", "p"), end(4, beside, "acme", "p"), end(5, beside, "acme", "p"), end(6, beside, "acme", "p")}, "acme", []string{"p"}, suspect.Isolated},
		"three ends":                               {three("acme", "bad"), "acme", []string{"bad"}, suspect.Refused},
		"behind sound parts":                       {three("acme", "bad"), "acme", []string{"a", "b", "bad"}, suspect.Refused},
		"other parts":                              {three("acme", "bad"), "acme", []string{"good"}, suspect.Allowed},
		"three ends, then an answer starts":        {join(three("acme", "bad"), begun("bad")), "acme", []string{"bad"}, suspect.Allowed},
		"both parts of all ends":                   {three("acme", "first", "bad"), "acme", []string{"first", "bad"}, suspect.Refused},
		"one of two parts of all ends":             {three("acme", "first", "bad"), "acme", []string{"first"}, suspect.Isolated},
		"the other one":                            {three("acme", "first", "bad"), "acme", []string{"other", "bad"}, suspect.Isolated},
		"one of them is sound":                     {join(three("acme", "first", "bad"), begun("first")), "acme", []string{"first"}, suspect.Allowed},
		"one of them is sound, the other":          {join(three("acme", "first", "bad"), begun("first")), "acme", []string{"other", "bad"}, suspect.Refused},
		"one of them ends one more":                {join(three("acme", "first", "bad"), end(4, alone, "acme", "other", "bad")), "acme", []string{"other", "bad"}, suspect.Refused},
		"explained by a part that ends more":       {join(three("acme", "bad"), end(2, beside, "acme", "rare"), end(3, beside, "acme", "rare")), "acme", []string{"rare"}, suspect.Allowed},
		"explained, one of its ends alone":         {join(three("acme", "bad"), end(1, beside, "acme", "rare"), end(2, beside, "acme", "rare"), end(3, alone, "acme", "rare")), "acme", []string{"rare"}, suspect.Isolated},
		"not explained":                            {join(three("acme", "bad"), end(4, beside, "acme", "rare"), end(5, beside, "acme", "rare")), "acme", []string{"rare"}, suspect.Isolated},
		"a part beside two deadly ones":            {[]step{end(1, beside, "acme", "first", "bad"), end(2, alone, "acme", "first", "bad"), end(3, beside, "acme", "first", "worse"), end(4, alone, "acme", "first", "worse")}, "acme", []string{"first"}, suspect.Isolated},
		"a part beside two proven ones":            {[]step{end(1, beside, "acme", "first", "bad"), end(2, alone, "acme", "first", "bad"), end(3, alone, "acme", "first", "bad"), end(4, beside, "acme", "first", "worse"), end(5, alone, "acme", "first", "worse"), end(6, alone, "acme", "first", "worse")}, "acme", []string{"first"}, suspect.Isolated},
		"beside a part with more ends than kept":   {many("acme", 12, "first"), "acme", []string{"first"}, suspect.Isolated},
		"that part":                                {many("acme", 12, "first"), "acme", []string{"other", "bad"}, suspect.Refused},
		"other parts in each request":              {[]step{end(1, beside, "acme", "a", "bad"), end(2, alone, "acme", "a", "bad"), end(3, alone, "acme", "b", "bad"), end(4, alone, "acme", "c", "bad"), end(5, alone, "acme", "d", "bad")}, "acme", []string{"e", "bad"}, suspect.Refused},
		"two deadly parts, the second":             {join(three("acme", "bad"), end(4, beside, "acme", "worse"), end(5, alone, "acme", "worse"), end(6, alone, "acme", "worse")), "acme", []string{"worse"}, suspect.Refused},
		"two deadly parts, the first":              {join(three("acme", "bad"), end(4, beside, "acme", "worse"), end(5, alone, "acme", "worse"), end(6, alone, "acme", "worse")), "acme", []string{"bad"}, suspect.Refused},
		"another account":                          {three("acme", "bad"), "other", []string{"bad"}, suspect.Isolated},
		"another account, and ends under its own":  {join(three("acme", "bad"), end(4, alone, "other", "bad")), "other", []string{"bad"}, suspect.Refused},
		"another account, and ends under a second": {join(three("acme", "bad"), end(4, alone, "other", "bad")), "third", []string{"bad"}, suspect.Refused},
		"another account, and an answer starts":    {join(three("acme", "bad"), begun("bad")), "other", []string{"bad"}, suspect.Allowed},
		"another account, other parts":             {three("acme", "bad"), "other", []string{"good"}, suspect.Allowed},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			clk := clock.NewManual(time.Unix(1000, 0))
			b := &suspect.Registry{Clock: clk}
			for _, do := range tc.steps {
				do(b, clk)
				clk.Advance(100 * time.Millisecond)
			}
			got := b.Assess(subjectOf(tc.account, tc.parts...))
			quicktest.Check(t, got.Status, quicktest.Equals, tc.want)
			quicktest.Check(t, got.Ended > 0, quicktest.Equals, tc.want != suspect.Allowed)
			quicktest.Check(t, got.Digest != (suspect.Digest{}), quicktest.Equals, tc.want != suspect.Allowed)
		})
	}
}

// TestAssessPrefersLaterPart checks that a request with two suspected parts waits for the runs of
// the second one only, so that requests with the first alone do not wait behind it.
func TestAssessPrefersLaterPart(t *testing.T) {
	clk := clock.NewManual(time.Unix(1000, 0))
	b := &suspect.Registry{Clock: clk}
	for key := range uint32(2) {
		b.RecordEndOf(subjectOf("acme", "first", "bad"), suspect.NewEnd(key, clk.Now(), suspect.BeforeFirstEvent))
	}
	s := subjectOf("other", "first", "bad")
	quicktest.Check(t, b.Assess(s).Digest, quicktest.Equals, s.Parts[1])
}

// TestPartsOfOneAccountAreBounded guards against an account that has evidence against a part
// forgotten by naming many parts of its own.
func TestPartsOfOneAccountAreBounded(t *testing.T) {
	c := quicktest.New(t)
	clk := clock.NewManual(time.Unix(1000, 0))
	b := &suspect.Registry{Clock: clk}
	b.RecordEndOf(subjectOf("acme", "bad"), suspect.NewEnd(1, clk.Now(), suspect.BeforeFirstEvent))
	for key := range uint32(500) {
		clk.Advance(time.Millisecond)
		b.RecordEndOf(subjectOf("flood", fmt.Sprint("a", key), fmt.Sprint("b", key)), suspect.NewEnd(100+key, clk.Now(), suspect.BeforeFirstEvent))
	}
	c.Check(len(b.GossipUpdate()) <= 32, quicktest.IsTrue)
	b.RecordEndOf(subjectOf("acme", "bad", "own"), suspect.NewEnd(2, clk.Now(), suspect.BeforeFirstEvent))
	c.Check(b.Assess(subjectOf("acme", "bad")).Status, quicktest.Equals, suspect.Isolated)
	c.Check(b.Assess(subjectOf("acme", "bad")).Ended, quicktest.Equals, 2)
}

// TestPartOfAnotherService checks that a part is known by its service too: other targets may bear
// it.
func TestPartOfAnotherService(t *testing.T) {
	quicktest.Check(t, suspect.Part{Service: "s", ID: "a"}.Digest() == suspect.Part{Service: "t", ID: "a"}.Digest(), quicktest.IsFalse)
	quicktest.Check(t, suspect.Part{Service: "sa"}.Digest() == suspect.Part{Service: "s", ID: "a"}.Digest(), quicktest.IsFalse)
}
