package front

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
)

// reservation is KV cache memory reserved at one helper.
type reservation struct {
	target barleystep.TargetID
	addr   string
	barleystep.Reservation
	// unanswered is when a copy of an order for it was last sent that may get no answer, in Unix
	// nanoseconds; zero if none was.
	unanswered atomic.Int64
}

// mayReturn reports whether a copy of an order may still be carried out that the target left unanswered.
func (r *reservation) mayReturn(now time.Time) bool {
	unanswered := r.unanswered.Load()
	return unanswered > 0 && now.Sub(time.Unix(0, unanswered)) < maxOrderDelay
}

const (
	// reservationTTL is the duration of a reservation. If this box dies, its memory is free again
	// after that time, well before the 4 s after which targets count it as lost.
	reservationTTL = 3500 * time.Millisecond
	// renewInterval is the interval between renewals. Two renewals may fail before a reservation
	// expires.
	renewInterval = time.Second
	// orderTimeout bounds one order to a target, which normally answers within milliseconds.
	orderTimeout = 500 * time.Millisecond
	// orderRepeatInterval is the interval at which an order without an answer is sent again. A prompt
	// needs the answers of all its helpers, so that it would rarely start if each were asked once.
	orderRepeatInterval = 60 * time.Millisecond
	// maxOrderDelay is how long after it was sent a target may carry out an order that it leaves unanswered.
	maxOrderDelay = 12 * time.Second
	// repeatReleaseInterval is the interval of the releases in that time. It is shorter than the 4 s after
	// which targets count memory as lost.
	repeatReleaseInterval = 3 * time.Second
	// maxReleaseTries bounds the tries to release a reservation; after that it expires by itself.
	maxReleaseTries = 3
)

const (
	// maxUnusedTime is how long reserved memory is kept that no request has used. Targets count memory as
	// withheld after 9 s.
	maxUnusedTime = 7 * time.Second
	// maxUnusedHold is how long after the first order a reservation of unused memory may last, so that it
	// ends in time without a release. One order tells whether the memory is used, another one renews it.
	maxUnusedHold = maxUnusedTime + 2*orderTimeout
)

// errUnusedMemory means that the target has not begun the prompt for which memory is reserved at helpers.
var errUnusedMemory = eris.New("front: the target leaves memory at helpers unused")

// errNoMemory means that a helper did not reserve memory.
var errNoMemory = eris.New("front: a helper has no memory for the prompt")

// helperList returns the helpers in the form that is sent to the target.
func (t *try) helperList() []barleystep.Helper {
	var list []barleystep.Helper
	for _, h := range t.placement.Helpers {
		id := ""
		if h.KVTokens > 0 {
			id = t.reservationID
		}
		list = append(list, barleystep.Helper{Addr: h.Addr, ReservationID: id})
	}
	return list
}

// newReservationID returns an id for the reservations of one try, one at each helper. A caller that repeats
// its request, here or at another box, repeats its id too, and targets would take both tries' memory for one.
func (d *deliver) newReservationID(request string) string {
	return request + "-" + d.instance + "-" + strconv.FormatUint(d.reservations.Add(1), 10)
}

// reserve reserves memory at the helpers for which the placement asks for it, and renews it until
// the context ends.
func (t *try) reserve(ctx context.Context) error {
	for _, h := range t.placement.Helpers {
		if h.KVTokens > 0 {
			if t.reservationID == "" {
				t.reservationID = t.stage.newReservationID(t.exchange.call.RequestID)
			}
			r := barleystep.Reservation{ID: t.reservationID, Tokens: h.KVTokens}
			t.reserved = append(t.reserved, &reservation{target: h.ID, addr: h.Addr, Reservation: r})
		}
	}
	if len(t.reserved) == 0 {
		return nil
	}
	t.reservedAt = t.stage.clock.Now()
	if !t.orderAll(ctx, t.reserved, t.reserveAt) {
		t.noMemory = true
		return eris.Wrap(barleystep.ErrNotStarted, errNoMemory.Error())
	}
	t.renewals.Go(func() { t.renew(ctx) })
	return nil
}

// unusedFor returns for how long memory has been reserved; isUsed is set if it is known to be used.
func (t *try) unusedFor() (d time.Duration, isUsed bool) {
	return t.stage.clock.Now().Sub(t.reservedAt), t.memoryUsed.Load()
}

// holdTime returns how long a reservation that is ordered now lasts.
func holdTime(unusedFor time.Duration, isUsed bool) time.Duration {
	if isUsed {
		return reservationTTL
	}
	return max(min(reservationTTL, maxUnusedHold-unusedFor), time.Millisecond)
}

// renew renews the reservations until the context ends. Unused ones are not renewed once they last until
// maxUnusedHold: a late copy of such an order would shorten those that follow when the memory is used.
func (t *try) renew(ctx context.Context) {
	isLast := false
	for clock.Sleep(ctx, t.stage.clock, renewInterval) {
		unusedFor, isUsed := t.unusedFor()
		if !isUsed && (isLast || unusedFor >= maxUnusedTime) {
			continue
		}
		isLast = t.renewOnce(ctx) && holdTime(unusedFor, isUsed) < reservationTTL
	}
}

// renewOnce renews the reservations and reports whether all helpers accepted that.
func (t *try) renewOnce(ctx context.Context) bool {
	if t.orderAll(ctx, t.reserved, t.reserveAt) {
		return true
	}
	if ctx.Err() == nil {
		t.stage.log.Warn().Str("request", t.exchange.call.RequestID).
			Msg(logPrefix + "A memory reservation at a helper could not be renewed. The renewal is tried again.")
	}
	return false
}

// release frees the reservations after the try has ended. It waits for renewals in flight, which
// would otherwise reserve the memory again.
func (t *try) release(ctx context.Context) {
	if len(t.reserved) == 0 {
		return
	}
	t.stage.pendingReleases.Add(1)
	go func() {
		t.renewals.Wait()
		t.releaseOnce(ctx)
		t.stage.pendingReleases.Add(-1)
		t.releaseAgain(ctx)
	}()
}

// releaseOnce frees the reservations, in several tries if need be.
func (t *try) releaseOnce(ctx context.Context) {
	for range maxReleaseTries {
		if t.orderAll(ctx, t.reserved, t.releaseAt) {
			return
		}
		clock.Sleep(ctx, t.stage.clock, orderTimeout)
	}
	t.stage.log.Warn().Str("request", t.exchange.call.RequestID).Dur("hold", reservationTTL).
		Msg(logPrefix + "A memory reservation at a helper could not be released. It expires after its hold time.")
}

// releaseAgain frees memory that is reserved again when targets carry out late copies of orders.
func (t *try) releaseAgain(ctx context.Context) {
	for {
		now := t.stage.clock.Now()
		late := slices.DeleteFunc(slices.Clone(t.reserved), func(r *reservation) bool { return !r.mayReturn(now) })
		if len(late) == 0 || !clock.Sleep(ctx, t.stage.clock, repeatReleaseInterval) {
			return
		}
		t.orderAll(ctx, late, t.releaseAt)
	}
}

// watchMemory ends the try if the reserved memory is still unused after maxUnusedTime, whatever answer is
// expected and whether another target can take the request.
func (t *try) watchMemory(ctx context.Context, cancel context.CancelCauseFunc) {
	timer := t.stage.clock.NewTimer(t.reservedAt.Add(maxUnusedTime).Sub(t.stage.clock.Now()))
	t.renewals.Go(func() {
		defer timer.Stop()
		select {
		case <-timer.C():
			t.endUnused(ctx, cancel)
		case <-ctx.Done():
		}
	})
}

// endUnused ends the try unless the reserved memory is used. Memory that is used is renewed at once, since
// its reservations last until maxUnusedHold.
func (t *try) endUnused(ctx context.Context, cancel context.CancelCauseFunc) {
	if t.memoryUsed.Load() || t.isMemoryUsed(ctx) {
		t.memoryUsed.Store(true)
		t.renewOnce(ctx)
		return
	}
	t.stage.log.Warn().Str("request", t.exchange.call.RequestID).Str("target", string(t.placement.Target.ID)).
		Dur("after", maxUnusedTime).Msg(logPrefix + "Memory at helpers is unused. It is released, and the try ends.")
	cancel(errUnusedMemory)
}

// maxUsageCalls is how many helpers are asked whether the memory is used. The first ones are filled first.
const maxUsageCalls = 2

// isMemoryUsed reports whether a helper states that the reserved memory is in use. It takes up to
// orderTimeout.
func (t *try) isMemoryUsed(ctx context.Context) bool {
	used := each(min(maxUsageCalls, len(t.reserved)), func(i int) bool { return t.isUsedAt(ctx, t.reserved[i]) })
	return slices.Contains(used, true)
}

func (t *try) isUsedAt(ctx context.Context, r *reservation) bool {
	ctx, cancel := clock.WithDeadline(ctx, t.stage.clock, t.stage.clock.Now().Add(orderTimeout))
	defer cancel()
	status, answer := t.order(ctx, r, t.stage.protocol.UsageRequest)
	return status == http.StatusOK && t.stage.protocol.ReadUsage(answer, r.ID)
}

// orderAll sends an order to the helpers of the list concurrently and reports whether all accepted it.
func (t *try) orderAll(ctx context.Context, list []*reservation, send func(context.Context, *reservation) bool) bool {
	ctx, cancel := clock.WithDeadline(ctx, t.stage.clock, t.stage.clock.Now().Add(orderTimeout))
	defer cancel()
	accepted := each(len(list), func(i int) bool { return send(ctx, list[i]) })
	return !slices.Contains(accepted, false)
}

// reserveAt reserves memory at a helper. A helper that has restarted holds nothing of the prompt,
// so reserving memory there would only withhold it from others.
func (t *try) reserveAt(ctx context.Context, r *reservation) bool {
	if t.placement.HasRestarted(r.target) {
		return true
	}
	var copies atomic.Int64
	status, _ := t.order(ctx, r, func() (*http.Request, []byte) {
		if copies.Add(1) > 1 { // At most one copy is known to be answered.
			r.unanswered.Store(t.stage.clock.Now().UnixNano())
		}
		// Each copy of the order is sent later than the one before.
		held := r.Reservation
		held.Hold = holdTime(t.unusedFor())
		return t.stage.protocol.ReserveRequest(held)
	})
	if status == 0 {
		r.unanswered.Store(t.stage.clock.Now().UnixNano())
	}
	return status == http.StatusOK
}

func (t *try) releaseAt(ctx context.Context, r *reservation) bool {
	status, _ := t.order(ctx, r, func() (*http.Request, []byte) { return t.stage.protocol.ReleaseRequest(r.ID) })
	return status > 0 && status < http.StatusInternalServerError
}

// orderAnswer is the answer to an order; its status is 0 if there was none.
type orderAnswer struct {
	status int
	body   []byte
}

// order sends an order until it is answered or the context ends, and returns status and body of the
// answer, 0 if there was none. It gives up at once if the target can't be reached for the first copy.
// Orders are idempotent. Earlier copies go on waiting for their answers, since a busy target may take
// longer than orderRepeatInterval.
func (t *try) order(ctx context.Context, r *reservation, newRequest func() (*http.Request, []byte)) (status int, answer []byte) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan orderAnswer)
	deliver := func(a orderAnswer) {
		select {
		case answers <- a:
		case <-ctx.Done():
		}
	}
	go func() {
		if a, reached := t.sendOrder(ctx, r, newRequest); a.status > 0 || !reached {
			deliver(a)
		}
	}()
	go func() {
		for clock.Sleep(ctx, t.stage.clock, orderRepeatInterval) {
			go func() {
				if a, _ := t.sendOrder(ctx, r, newRequest); a.status > 0 {
					deliver(a)
				}
			}()
		}
	}()
	select {
	case a := <-answers:
		return a.status, a.body
	case <-ctx.Done():
		return 0, nil
	}
}

// sendOrder sends one copy of an order and returns the answer; reached is false if no connection could be
// made. The target's statement in the answer is taken in as from any other answer.
//
// Answers to orders do not name the order that they belong to. Each copy therefore uses a
// connection of its own, on which no late answer to anything else can arrive.
func (t *try) sendOrder(ctx context.Context, r *reservation, newRequest func() (*http.Request, []byte)) (a orderAnswer, reached bool) {
	c, err := t.stage.pool.Dial(ctx, r.addr)
	if err != nil {
		return orderAnswer{}, false
	}
	defer c.Discard()
	req, body := newRequest()
	req.Host = r.addr
	resp, err := c.Send(ctx, req, body, t.isOrderAnswer)
	if err != nil {
		return orderAnswer{}, true
	}
	defer resp.Body.Close()
	if !misdirected(resp) {
		// Answers to orders may omit statements that others carry, so an omission revokes nothing.
		t.noteStatement(r.target, t.stage.protocol.ReadResponseHead(resp.StatusCode, resp.Header).Statement, time.Time{})
	}
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
	if err != nil {
		return orderAnswer{}, true
	}
	return orderAnswer{resp.StatusCode, answer}, true
}

// isOrderAnswer reports whether an answer may belong to an order: it names no request.
func (t *try) isOrderAnswer(h http.Header) bool {
	return t.stage.protocol.ReadResponseHead(0, h).RequestID == ""
}
