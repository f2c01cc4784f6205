// Package keeper looks after the targets of a hall: it frees what dead boxes
// have left in engines, clears old rows from the table, and gives orders to
// load models. Each duty at a target is one box's at a time; the others could
// take it over at any moment, and two at once do no harm.
package keeper

import (
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/member"
)

// Reason is why an attempt is cancelled.
type Reason string

// The reasons for which attempts are cancelled. ReasonNone leaves them alone.
const (
	ReasonNone Reason = ""
	// ReasonReplaced means that the box has started anew since.
	ReasonReplaced Reason = "box_replaced"
	// ReasonGone means that the box counts as dead and that the platform no
	// longer lists it.
	ReasonGone Reason = "box_gone"
	// ReasonDeadline means that the attempt's deadline is long past.
	ReasonDeadline Reason = "deadline_passed"
)

// deadlineGrace is how long after its deadline an attempt is left alone. It
// covers the difference between clocks.
const deadlineGrace = 30 * time.Second

// Picture is what a keeper knows of the boxes of its hall.
type HallState struct {
	// Members are the boxes as the own box sees them.
	Members []member.Update
	// Listed are the boxes that the platform lists, and ListedAt is when it was
	// asked; zero if it could not be.
	Listed   map[barleystep.BoxID]bool
	ListedAt time.Time
	// DeadSince says since when a box counts as dead.
	DeadSince map[barleystep.BoxID]time.Time
}

// Judge decides whether an attempt is left over. Work of a box that may be
// alive is never touched before its deadline: that heartbeats are missing is
// not enough, as the keeper may be the one who is cut off.
func OrphanReason(w barleystep.HeldAttempt, p HallState, now time.Time) Reason {
	if !w.Deadline.IsZero() && now.Sub(w.Deadline) > deadlineGrace {
		return ReasonDeadline
	}
	id, ok := barleystep.ParseAttemptID(w.Attempt)
	if !ok {
		return ReasonNone
	}
	for _, m := range p.Members {
		if m.Box == id.Box() {
			return orphanReasonOfBox(m, id, p)
		}
	}
	return ReasonNone
}

func orphanReasonOfBox(m member.Update, id barleystep.AttemptID, p HallState) Reason {
	if m.Incarnation > id.Incarnation() {
		return ReasonReplaced
	}
	since, dead := p.DeadSince[m.Box]
	unlisted := p.ListedAt.After(since) && !p.Listed[m.Box]
	if m.Status == member.StatusDead && dead && unlisted && m.Incarnation == id.Incarnation() {
		return ReasonGone
	}
	return ReasonNone
}
