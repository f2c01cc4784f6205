package balance

import (
	"time"

	"github.com/rotisserie/eris"
)

// refusedError is an ErrFull with the time after which the caller should come back.
type refusedError struct {
	after time.Duration
}

// Error returns the text of ErrFull with the time.
func (e *refusedError) Error() string {
	return ErrFull.Error() + ", capacity is expected in " + e.after.String()
}

// Unwrap returns ErrFull.
func (e *refusedError) Unwrap() error { return ErrFull }

// MaxRefusedAfter is the longest time that a refusal carries. Callers give up long before it, so a
// longer time is a fault of its sender.
const MaxRefusedAfter = time.Minute

// NewRefused returns an error for which eris.Is(err, ErrFull) holds and that carries the time after
// which the caller should come back. It is ErrFull itself if the time is not positive or over
// MaxRefusedAfter.
func NewRefused(after time.Duration) error {
	if after <= 0 || after > MaxRefusedAfter {
		return ErrFull
	}
	return &refusedError{after: after}
}

// RefusedUntil returns the time after which the caller of a refused request should come back. ok is
// false if the error carries none.
func RefusedUntil(err error) (after time.Duration, ok bool) {
	var refused *refusedError
	if !eris.As(err, &refused) {
		return 0, false
	}
	return refused.after, true
}

const (
	// usableEngineTime is the part of the engines' time that is expected to go to prefill of the
	// work counted here. Under load, engines were given work for 0.73 of their time.
	usableEngineTime = 0.7
	// calmUse is the demand, as a part of the engines' time, up to which the next seconds are expected
	// to be like the last: where it is higher, a swing of the rates by half leaves nothing free.
	calmUse = 0.45
	// minRefusedAfter is the shortest time that a refused caller is told to stay away. Within it,
	// other boxes learn of the work placed meanwhile.
	minRefusedAfter = 100 * time.Millisecond
)

// returningWork is the engine time of a caller that is expected to come back after a time.
type returningWork struct {
	after      time.Duration
	engineTime time.Duration
}

// capacityAfter returns the earliest time after which the engines have worked off the engine time of
// waiting prompts and that of the callers that come back before, and have time for the prompt's own
// until the next caller comes back. Returning work is given in ascending order of its time. The
// result is between minRefusedAfter and MaxRefusedAfter.
func capacityAfter(own, waiting time.Duration, engines float64, returning []returningWork) time.Duration {
	rate := engines * usableEngineTime
	if rate <= 0 {
		return MaxRefusedAfter
	}
	need := time.Duration(float64(own) / rate)
	idleAt := time.Duration(float64(waiting) / rate)
	for _, r := range returning {
		if r.after >= max(idleAt, minRefusedAfter)+need {
			break
		}
		idleAt = max(idleAt, r.after) + time.Duration(float64(r.engineTime)/rate)
	}
	return min(max(idleAt, minRefusedAfter), MaxRefusedAfter)
}

// refusal returns the error of a queued job that is refused. It carries a time if the job waited for
// the engines' time, and not for rate limits or the trial of a suspect.
func (b *Balancer) refusal(w *QueuedJob) error {
	j := w.job
	b.noteReturnEnded(j, false)
	b.noteRefused(j)
	if j.Cost == nil || j.isSuspect() || w.held == holdLimit {
		return ErrFull
	}
	engines := len(b.candidates(j))
	if engines == 0 {
		return ErrFull
	}
	return b.refuseForLoad(j, b.waitingEngineTime(j.Service), engines)
}

// refuseForLoad returns the error of a job that is refused because this much engine time is needed
// by prompts that wait for this many engines. Its caller is expected back, unless it has come back
// already: callers return once.
func (b *Balancer) refuseForLoad(j Job, waiting time.Duration, engines int) error {
	now := b.Clock.Now()
	after := capacityAfter(j.Cost.Prefill(j.PromptTokens), waiting, b.spareEngines(j, engines), b.returns.upcoming(j.Service, now))
	b.logRefused(j, waiting, engines, after)
	if !j.CallerRetry {
		b.countMissing(b.returns.note(j, now, after))
	}
	return NewRefused(after)
}

// spareEngines returns how many of the engines are left for work that has to wait, if callers go on
// asking for as much as lately. During a burst it is none: a caller that came back within it, for its
// last try, would be refused again.
func (b *Balancer) spareEngines(j Job, engines int) float64 {
	d := b.demand(j.Service)
	use := (d.Short + d.Long) / float64(engines)
	if use > calmUse {
		return 0
	}
	return float64(engines) * (1 - use/usableEngineTime)
}

// waitingEngineTime returns the engine time of the service's prompts that wait for engines.
func (b *Balancer) waitingEngineTime(service string) (total time.Duration) {
	for _, q := range [][]*QueuedJob{b.shortQueue, b.longQueue} {
		for _, w := range q {
			if !w.cancelled && w.job.Service == service && w.job.Cost != nil {
				total += w.job.Cost.Prefill(w.job.PromptTokens)
			}
		}
	}
	return total
}

// logRefused logs a refusal because of load with its predicted time.
func (b *Balancer) logRefused(j Job, waiting time.Duration, engines int, after time.Duration) {
	if b.Log == nil {
		return
	}
	now := b.Clock.Now()
	b.Log.Info().Str("request", j.RequestID).Int("prompt", j.PromptTokens).Int("priority", j.Priority).
		Bool("returned", j.CallerRetry).Dur("since_first_try", b.waited(j)).Dur("capacity_after", after).
		Dur("engine_time_waiting", waiting).Dur("engine_time_returning", b.expectedReturns(j.Service, now, now.Add(after))).
		Int("engines", engines).Msg(logPrefix + "A prompt was refused because of load.")
}
