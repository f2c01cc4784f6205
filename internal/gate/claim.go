package gate

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/claim"
)

// claimOnce claims the idempotency key of a request that must run at most once, and answers
// retries of the request with the stored result.
type claimOnce struct {
	book *claim.Manager
}

// Run claims the request's key, and records the outcome and the answer of the request.
func (c *claimOnce) Run(ctx context.Context, x *Exchange, next Next) error {
	if x.repeatable {
		return next(ctx, x)
	}
	d, err := c.book.Claim(ctx, claim.Request{
		Account:  x.account.Name,
		Key:      x.key,
		Digest:   requestDigest(x),
		Deadline: x.deadline,
	})
	if err != nil {
		return err
	}
	if d.Claim() == nil {
		return replay(x, d.Answer())
	}
	return c.run(ctx, x, d.Claim(), next)
}

func (c *claimOnce) run(ctx context.Context, x *Exchange, held *claim.Claim, next Next) error {
	result := &Result{}
	finished := false
	finish := func(o barleystep.Outcome, answer []byte) {
		if finished {
			return
		}
		finished = true
		// The outcome must be recorded even if the request's context is done.
		held.Finish(context.WithoutCancel(ctx), o, answer)
	}
	x.answer.copy = result
	x.answer.beforeLastEvent = func() { finish(barleystep.OutcomeDone, encodeResult(result)) }
	err := next(ctx, x)
	finish(x.attemptOutcome, encodeResult(result))
	return err
}

func encodeResult(r *Result) []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // All fields have basic types, so encoding cannot fail.
	}
	return data
}

func replay(x *Exchange, stored []byte) error {
	var r Result
	if err := json.Unmarshal(stored, &r); err != nil {
		return barleystep.NewRefusal(barleystep.ReasonInternal, barleystep.OutcomeDone, "The stored answer is damaged.")
	}
	x.answer.replay(r)
	return nil
}

// requestDigest returns a digest by which different requests with the same key are told apart.
func requestDigest(x *Exchange) string {
	h := sha256.New()
	fmt.Fprintf(h, "%s\n%s\n%s\n", x.r.Method, x.service, x.path)
	h.Write(x.prompt.body)
	return hex.EncodeToString(h.Sum(nil))
}
