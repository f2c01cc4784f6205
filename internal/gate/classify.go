package gate

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/config"
	"github.com/barleystep/barleystep/internal/guard"
)

// classify parses the request's headers and body, and sets its class, deadline and prompt.
type classify struct {
	clock     barleystep.Clock
	estimator *Estimator
	limits    Limits
}

// Limits bounds what callers may request.
type Limits struct {
	// Body is the maximum size of a body in bytes; the default is 16 MiB.
	Body int64
	// MinTime and MaxTime bound the time limit of a request; the defaults are 100 ms and one hour.
	MinTime time.Duration
	MaxTime time.Duration
}

// refusalWriteTime is how long after the deadline a refusal can still be written to the caller.
const refusalWriteTime = time.Second

// Defaults of Limits.
const (
	DefaultBodyLimit = 16 << 20
	DefaultMinTime   = 100 * time.Millisecond
	DefaultMaxTime   = time.Hour
)

func (l Limits) withDefaults() Limits {
	if l.Body == 0 {
		l.Body = DefaultBodyLimit
	}
	if l.MinTime == 0 {
		l.MinTime = DefaultMinTime
	}
	if l.MaxTime == 0 {
		l.MaxTime = DefaultMaxTime
	}
	return l
}

// Run refuses malformed requests and unknown names, and runs the later stages with the request's
// deadline.
func (c *classify) Run(ctx context.Context, x *Exchange, next Next) error {
	steps := []func(*Exchange) error{c.class, c.deadline, c.repeatable, c.body}
	for _, step := range steps {
		if err := step(x); err != nil {
			return err
		}
	}
	ctx, cancel := clock.WithDeadline(ctx, c.clock, x.deadline)
	defer cancel()
	return next(ctx, x)
}

func (c *classify) class(x *Exchange) error {
	name := x.r.Header.Get(HeaderClass)
	if name == "" {
		name = defaultClass(x)
	}
	class, ok := x.view.Class(name)
	allowed := len(x.account.Classes) == 0 || slices.Contains(x.account.Classes, name)
	if !ok || !allowed {
		return refuse(barleystep.ReasonUnknownClass, fmt.Sprintf("The account has no class %q.", name))
	}
	x.class = class
	return nil
}

func defaultClass(x *Exchange) string {
	if len(x.account.Classes) > 0 {
		return x.account.Classes[0]
	}
	return x.view.DefaultClass()
}

func (c *classify) deadline(x *Exchange) error {
	limit := time.Duration(x.class.Limit)
	if text := x.r.Header.Get(HeaderTimeLimit); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d < c.limits.MinTime || d > c.limits.MaxTime {
			return refuse(barleystep.ReasonTimeLimitOutOfRange, fmt.Sprintf(
				"%s is %q; it must be a duration from %s to %s.", HeaderTimeLimit, text, c.limits.MinTime, c.limits.MaxTime))
		}
		limit = d
	}
	x.deadline = x.started.Add(limit)
	x.answer.limit(c.clock, x.deadline.Add(refusalWriteTime))
	return nil
}

func (c *classify) repeatable(x *Exchange) error {
	x.key = x.r.Header.Get(HeaderIdempotencyKey)
	x.repeatable = x.r.Header.Get(HeaderRepeatable) != "no"
	if !x.repeatable && x.key == "" {
		return refuse(barleystep.ReasonMissingIdempotencyKey,
			"A request that must not be repeated needs an "+HeaderIdempotencyKey+".")
	}
	return nil
}

func (c *classify) body(x *Exchange) (err error) {
	body, err := c.readBody(x)
	var tooLarge *http.MaxBytesError
	switch {
	case eris.As(err, &tooLarge):
		return refuse(barleystep.ReasonBodyTooLarge, fmt.Sprintf("The body is over %d bytes.", c.limits.Body))
	case eris.Is(err, guard.ErrNoMemory), guard.From(x.r.Context()).IsEvicted():
		return refuse(barleystep.ReasonNoMemory, "This box has no memory for the request.").WithRetryAfter(time.Second)
	case err != nil:
		return refuse(barleystep.ReasonCallerGone, "The body could not be read.")
	case x.isService():
		x.prompt = prompt{body: body}
		return c.checkService(x)
	}
	return c.model(x, body)
}

// readBody reads the body, whose memory the caller's connection holds.
func (c *classify) readBody(x *Exchange) ([]byte, error) {
	return guard.From(x.r.Context()).ReadBody(http.MaxBytesReader(x.w, x.r.Body, c.limits.Body), min(x.r.ContentLength, c.limits.Body))
}

func (c *classify) checkService(x *Exchange) error {
	if _, ok := x.view.Service(x.service); !ok {
		return refuse(barleystep.ReasonUnknownService, fmt.Sprintf("There is no service %q.", x.service))
	}
	return nil
}

func (c *classify) model(x *Exchange, body []byte) error {
	p, err := parsePrompt(body)
	if err != nil {
		return err
	}
	m, ok := x.view.Model(p.model)
	if !ok {
		return refuse(barleystep.ReasonUnknownModel, fmt.Sprintf("There is no model %q.", p.model))
	}
	p.tokens = c.estimator.Tokens(p.model, p.textBytes)
	p.maxOutput = outputTokens(p.maxOutput, m)
	x.prompt = p
	if p.tokens > m.MaxPrompt {
		return refuse(barleystep.ReasonPromptTooLong, fmt.Sprintf(
			"The prompt has about %d tokens; the model reads at most %d.", p.tokens, m.MaxPrompt))
	}
	return nil
}

func outputTokens(requested int, m config.Model) int {
	if requested <= 0 || requested > m.MaxOutput {
		return m.MaxOutput
	}
	return requested
}
