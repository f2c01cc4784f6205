package claim

import (
	"context"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/identity"
	"github.com/barleystep/barleystep/internal/metric"
)

// Manager makes and settles claims for one box. Its exported fields are set
// before use; it is safe for concurrent use.
type Manager struct {
	Table   barleystep.Table
	Objects barleystep.ObjectStore
	Clock   barleystep.Clock
	IDs     *identity.Generator
	Meter   *metric.Meter
	Log     *log.Logger
	// StoreTimeout is how long a claim waits for the store; the default is
	// 2 seconds.
	StoreTimeout time.Duration
	// Grace is added to a holder's deadline before the holder is taken to have
	// ended; it covers clock skew between boxes. The default is 5 seconds.
	Grace time.Duration

	tasks chan task
}

// The defaults of a Manager, and its fixed limits.
const (
	DefaultStoreTimeout = 2 * time.Second
	DefaultGrace        = 5 * time.Second

	minBackoff    = 10 * time.Millisecond
	maxBackoff    = time.Second
	taskQueueSize = 4096
	workers       = 16
)

// NewManager returns a Manager whose exported fields are still to be set.
func NewManager() *Manager { return &Manager{tasks: make(chan task, taskQueueSize)} }

// Request identifies the request that is claimed.
type Request struct {
	Account string
	Key     string
	// Digest is a hash of the request's content.
	Digest string
	// Deadline is the time by which the request has ended.
	Deadline time.Time
}

// row returns the row that a claim of the request writes.
func (r Request) row(s State, nonce string) Row {
	return Row{State: s, Nonce: nonce, Digest: r.Digest, Deadline: r.Deadline}
}

// Claim is the right to send a request once.
type Claim struct {
	manager *Manager
	request Request
	machine Machine
}

// Decision is the result of Manager.Claim. Either the claim or the answer is set.
type Decision struct {
	claim  *Claim
	answer []byte
}

// Claim returns the right to send the request, or nil.
func (d Decision) Claim() *Claim { return d.claim }

// Answer returns the stored answer of an earlier execution, or nil.
func (d Decision) Answer() []byte { return d.answer }

// Claim decides whether this box may send the request, or returns the answer that
// an earlier execution stored. Otherwise the error is a *barleystep.Refusal.
func (b *Manager) Claim(ctx context.Context, r Request) (d Decision, err error) {
	m := b.decide(ctx, r)
	if m.MayBeHeld && m.Verdict != VerdictSend {
		b.enqueue(task{request: r, machine: m})
	}
	if m.Verdict == VerdictSend {
		return Decision{claim: &Claim{manager: b, request: r, machine: m}}, nil
	}
	return b.earlierResult(ctx, m)
}

// decide runs the protocol of one claim until it has a verdict.
func (b *Manager) decide(ctx context.Context, r Request) Machine {
	ctx, cancel := clock.WithDeadline(ctx, b.Clock, b.Clock.Now().Add(b.storeTimeout()))
	defer cancel()
	nonce := b.IDs.NextAttempt().String()
	m, action := Start(nonce, r.Digest, b.grace())
	backoff := minBackoff
	for action != ActionNone {
		if ctx.Err() != nil {
			m, action = Step(m, Input{Event: EventDeadline})
			continue
		}
		in := b.perform(ctx, r, m, action)
		if in.Event == EventUnknownEffect || in.Event == EventUnavailable {
			clock.Sleep(ctx, b.Clock, backoff)
			backoff = min(2*backoff, maxBackoff)
		}
		m, action = Step(m, in)
	}
	return m
}

// perform executes one action and returns its outcome as an input of Step.
func (b *Manager) perform(ctx context.Context, r Request, m Machine, a Action) Input {
	key := rowKey(r.Account, r.Key)
	switch a {
	case ActionRead:
		row, err := b.read(ctx, key)
		if err != nil {
			return Input{Event: EventUnavailable}
		}
		return Input{Event: EventRow, Row: row, Now: b.Clock.Now()}
	case ActionExclude:
		return b.write(ctx, key, m.BaseVersion, r.row(StateNotRun, m.Nonce))
	default:
		return b.write(ctx, key, m.BaseVersion, r.row(StateHeld, m.Nonce))
	}
}

func (b *Manager) read(ctx context.Context, key string) (Row, error) {
	rows, err := b.Table.Read(ctx, key)
	if err != nil {
		b.Meter.StoreFault("claim_read", barleystep.FaultOf(err).String())
		return Row{}, err
	}
	return Decode(rows[0])
}

func (b *Manager) write(ctx context.Context, key string, base int64, row Row) Input {
	err := b.Table.Commit(ctx, barleystep.Txn{
		Conditions: []barleystep.Condition{barleystep.IfVersion(key, base)},
		Writes:     []barleystep.Write{barleystep.Put(key, row.encode())},
	})
	fault := barleystep.FaultOf(err)
	if fault != barleystep.FaultNone && fault != barleystep.FaultConflict {
		b.Meter.StoreFault("claim_write", fault.String())
	}
	switch fault {
	case barleystep.FaultNone:
		return Input{Event: EventWritten}
	case barleystep.FaultConflict:
		return Input{Event: EventConflict}
	case barleystep.FaultUnavailable:
		return Input{Event: EventUnavailable}
	default:
		return Input{Event: EventUnknownEffect}
	}
}

// earlierResult returns the decision on a request whose claim did not get the
// right to send: the stored answer of another claim, or a refusal.
func (b *Manager) earlierResult(ctx context.Context, m Machine) (Decision, error) {
	switch m.Verdict {
	case VerdictDone:
		return b.storedAnswer(ctx, m.Row)
	case VerdictRunning:
		wait := max(time.Second, m.Row.Deadline.Sub(b.Clock.Now()))
		return Decision{}, barleystep.NewRefusal(barleystep.ReasonStillRunning, barleystep.OutcomePending,
			"A request with this key is running.").WithRetryAfter(min(wait, time.Minute))
	case VerdictFailed:
		return Decision{}, barleystep.NewRefusal(barleystep.ReasonTargetFailed, barleystep.OutcomeFailed,
			"The request with this key was run and failed.")
	case VerdictKeyReused:
		return Decision{}, barleystep.NewRefusal(barleystep.ReasonIdempotencyKeyReused, barleystep.OutcomeNotRun,
			"The key belongs to another request.")
	case VerdictStoreUnavailable:
		return Decision{}, barleystep.NewRefusal(barleystep.ReasonStoreUnavailable, barleystep.OutcomeNotRun,
			"The claim could not be written; nothing was run.").WithRetryAfter(b.storeTimeout())
	default:
		return Decision{}, b.unknownOutcome(m)
	}
}

func (b *Manager) unknownOutcome(m Machine) error {
	if m.OtherClaim {
		return barleystep.NewRefusal(barleystep.ReasonStoreUnavailable, barleystep.OutcomeUnknown,
			"The state of this key could not be read.").WithRetryAfter(b.storeTimeout())
	}
	return barleystep.NewRefusal(barleystep.ReasonEarlierOutcomeUnknown, barleystep.OutcomeUnknown,
		"A request with this key may have run; nobody can tell.")
}

func (b *Manager) storedAnswer(ctx context.Context, r Row) (Decision, error) {
	data, err := b.Objects.Get(ctx, r.Object)
	if err != nil {
		return Decision{}, barleystep.NewRefusal(barleystep.ReasonStoreUnavailable, barleystep.OutcomeDone,
			"The request was run; its answer can't be read now.").WithRetryAfter(b.storeTimeout())
	}
	return Decision{answer: data}, nil
}

func (b *Manager) storeTimeout() time.Duration {
	if b.StoreTimeout == 0 {
		return DefaultStoreTimeout
	}
	return b.StoreTimeout
}

func (b *Manager) grace() time.Duration {
	if b.Grace == 0 {
		return DefaultGrace
	}
	return b.Grace
}

// errUnsettled is returned by a task that has to be retried.
var errUnsettled = eris.New("claim: not settled yet")
