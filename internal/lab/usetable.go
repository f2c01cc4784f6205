package lab

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// balancerRows returns the rows of the balancer.
func balancerRows(rows []*row) []*row {
	return slices.DeleteFunc(slices.Clone(rows), func(r *row) bool { return r.policy.pick != nil })
}

// writeSizes writes how many of a hundred long prompts of each class of length were answered in
// time and late.
func writeSizes(w io.Writer, rows []*row) error {
	var b strings.Builder
	fmt.Fprint(&b, "\n| load, long prompts | longest tenth in time | late | next fifth in time | late | rest in time | late |\n|---|---|---|---|---|---|---|\n")
	for _, r := range balancerRows(rows) {
		fmt.Fprintf(&b, "| %s |", r.family.Name)
		for _, s := range r.sum.Kinds[kinds-1].Sizes {
			fmt.Fprintf(&b, " %.1f | %.1f |", 100*s.InTimeRate(), 100*s.LateRate())
		}
		fmt.Fprintln(&b)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// writeUse writes how engines were used while long prompts were refused, and how refusals were
// made.
func writeUse(w io.Writer, rows []*row) error {
	var b strings.Builder
	fmt.Fprint(&b, "\n| load | use when refused | windows | refusals of long | at low demand | waited in vain, of 100 | found capacity, of 100 | next placement after a kill |\n|---|---|---|---|---|---|---|---|\n")
	for _, r := range balancerRows(rows) {
		use, windows := r.sum.UseWhenRefused()
		fmt.Fprintf(&b, "| %s | %.2f | %d | %d | %d | %.2f | %.1f | %s |\n", r.family.Name, use, windows, r.sum.Refused(),
			r.sum.RefusedAtLowDemand, 100*r.sum.WaitedInVainRate(), 100*r.sum.FoundCapacityRate(), r.sum.killTimes())
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// killTimes lists how long after each kill the next long prompt was placed.
func (r Result) killTimes() string {
	var list []string
	for _, k := range r.Kills {
		list = append(list, k.First.Round(time.Millisecond).String())
	}
	return strings.Join(list, ", ")
}

// writeGroups writes the outcome by priority and by account, where there is more than one.
func writeGroups(w io.Writer, rows []*row) error {
	var b strings.Builder
	for _, r := range balancerRows(rows) {
		writeGroup(&b, r, "priority", r.sum.Priorities)
		writeGroup(&b, r, "account", r.sum.Accounts)
	}
	if b.Len() == 0 {
		return nil
	}
	_, err := fmt.Fprintf(w, "\n| load | group | prompts | worth | in time | late |\n|---|---|---|---|---|---|\n%s", b.String())
	return err
}

// writeGroup writes the rows of one kind of group.
func writeGroup(b *strings.Builder, r *row, name string, groups []GroupResult) {
	if len(groups) < 2 {
		return
	}
	for i, g := range groups {
		fmt.Fprintf(b, "| %s | %s %d | %d | %.3f | %.3f | %.3f |\n", r.family.Name, name, i, g.Count, g.WorthRatio(), g.InTimeRate(), g.LateRate())
	}
}
