package front

import (
	"strings"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/rotisserie/eris"
)

// TestBufferedAnswersBounded guards against boxes whose memory is filled by many long answers at once, each
// of which is below its own bound.
func TestBufferedAnswersBounded(t *testing.T) {
	c := quicktest.New(t)
	stage := &deliver{}
	read := func(bytes int) (*Exchange, error) {
		x := &Exchange{}
		_, err := (&try{stage: stage, exchange: x}).readBody(strings.NewReader(strings.Repeat("x", bytes)))
		return x, err
	}
	var held []*Exchange
	for range maxBufferedBytes/maxAnswerBytes - 1 {
		x, err := read(maxAnswerBytes)
		c.Assert(err, quicktest.IsNil)
		held = append(held, x)
	}
	x, err := read(maxAnswerBytes)
	c.Check(eris.Is(err, errTooManyAnswers), quicktest.IsTrue)
	for _, x := range append(held, x) {
		stage.buffered.give(x.buffered)
	}
	_, err = read(maxAnswerBytes)
	c.Check(err, quicktest.IsNil)
	_, err = read(maxAnswerBytes + 1)
	c.Check(eris.Is(err, errAnswerTooLong), quicktest.IsTrue)
}
