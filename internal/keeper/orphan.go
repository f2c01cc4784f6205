// Package keeper maintains the targets of a hall: it cancels attempts that
// ended boxes left in engines, deletes expired claims from the table, and
// orders targets to load model weights. Each of these jobs is owned by one box
// at a time. Any other box can take a job over at any time, and two boxes that
// do the same job at once do no harm.
package keeper

import (
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/member"
)

// Reason is the reason for which an attempt is cancelled.
type Reason string

// The reasons for which attempts are cancelled. An attempt with ReasonNone is
// not cancelled.
const (
	ReasonNone Reason = ""
	// ReasonReplaced means that a later incarnation of the box has started.
	ReasonReplaced Reason = "box_replaced"
	// ReasonGone means that membership reports the box as dead and that the
	// platform no longer lists it.
	ReasonGone Reason = "box_gone"
	// ReasonDeadline means that the attempt's deadline passed more than
	// deadlineGrace ago.
	ReasonDeadline Reason = "deadline_passed"
)

// deadlineGrace is how long after its deadline an attempt is not yet
// cancelled. It covers clock skew between boxes.
const deadlineGrace = 30 * time.Second

// HallState is what a keeper knows about the boxes of its hall.
type HallState struct {
	// Members is the membership as the own box's entry process reports it.
	Members []member.Update
	// Listed is the set of boxes that the platform lists, and ListedAt the time
	// at which it was asked; zero if it has not answered yet.
	Listed   map[barleystep.BoxID]bool
	ListedAt time.Time
	// DeadSince maps each dead box to the time at which it was first seen dead.
	DeadSince map[barleystep.BoxID]time.Time
}

// OrphanReason returns why the attempt is orphaned, or ReasonNone. An attempt
// of a box that may be alive is never cancelled before its deadline: missing
// heartbeats do not suffice, because the keeper itself may be partitioned.
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
