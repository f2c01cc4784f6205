package lab

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
)

// Plan says what is measured.
type Plan struct {
	// Seeds is the number of days drawn of each family.
	Seeds int
	// Workers is the number of days simulated at the same time.
	Workers int
	// Family is a prefix of the names of the families to run. Empty means all.
	Family string
	// BalancerOnly skips the simple policies.
	BalancerOnly bool
}

// row is a family under one policy.
type row struct {
	family Family
	policy Policy
	sum    Result
	worths []float64
}

// policies returns the policies measured for each family.
func (p Plan) policies() []Policy {
	if p.BalancerOnly {
		return []Policy{Balancer}
	}
	return []Policy{Random, LeastLoaded, Balancer}
}

// WriteTables runs the plan and writes its tables as Markdown.
func WriteTables(w io.Writer, p Plan) error {
	var rows []*row
	for _, f := range Families {
		if !strings.HasPrefix(f.Name, p.Family) {
			continue
		}
		for _, policy := range p.policies() {
			rows = append(rows, &row{family: f, policy: policy})
		}
	}
	p.run(rows)
	if err := writeWorth(w, rows); err != nil {
		return err
	}
	for _, write := range []func(io.Writer, []*row) error{writeCauses, writeSizes, writeUse, writeGroups} {
		if err := write(w, rows); err != nil {
			return err
		}
	}
	return nil
}

func (p Plan) run(rows []*row) {
	var wait sync.WaitGroup
	workers := make(chan struct{}, max(p.Workers, 1))
	for _, r := range rows {
		results := make([]Result, p.Seeds)
		var days sync.WaitGroup
		for seed := range p.Seeds {
			workers <- struct{}{}
			days.Add(1)
			wait.Go(func() {
				defer days.Done()
				results[seed] = r.runDay(uint64(seed + 1))
				<-workers
			})
		}
		wait.Go(func() {
			days.Wait()
			for _, res := range results {
				r.sum.Add(res)
				r.worths = append(r.worths, res.WorthRatio())
			}
		})
	}
	wait.Wait()
}

func (r *row) runDay(seed uint64) Result {
	scenario := r.family.Draw(rand.New(rand.NewPCG(seed, 0)))
	return Run(scenario, r.policy, seed)
}

// spread returns the mean worth ratio of the days and the standard error of that mean.
func (r *row) spread() (mean, err float64) {
	for _, w := range r.worths {
		mean += w / float64(len(r.worths))
	}
	for _, w := range r.worths {
		err += (w - mean) * (w - mean)
	}
	n := float64(len(r.worths))
	return mean, math.Sqrt(err/max(n-1, 1)) / math.Sqrt(n)
}

func writeWorth(w io.Writer, rows []*row) error {
	var b strings.Builder
	fmt.Fprintf(&b, "| load | decided by | worth | ± | bound | short | middling | long |\n|---|---|---|---|---|---|---|---|\n")
	for _, r := range rows {
		mean, spread := r.spread()
		fmt.Fprintf(&b, "| %s | %s | %.3f | %.3f | %.3f |", r.family.Name, r.policy.Name, mean, spread, r.sum.BoundRatio())
		for _, k := range r.sum.Kinds {
			fmt.Fprintf(&b, " %.3f |", k.ServedWorth/max(k.OfferedWorth, 1))
		}
		fmt.Fprintln(&b)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// writeCauses writes how many of a hundred streams of each kind were late, by cause.
func writeCauses(w io.Writer, rows []*row) error {
	var b strings.Builder
	fmt.Fprintf(&b, "\n| load | of 100 |")
	for c := causeNone + 1; c < causes; c++ {
		fmt.Fprintf(&b, " %s |", c)
	}
	fmt.Fprintf(&b, "\n|---|---|%s\n", strings.Repeat("---|", int(causes)-1))
	names := [kinds]string{kindShort, kindMiddling, kindLong}
	for _, r := range rows {
		if r.policy.pick != nil {
			continue
		}
		for i, k := range r.sum.Kinds {
			fmt.Fprintf(&b, "| %s | %s |", r.family.Name, names[i])
			for c := causeNone + 1; c < causes; c++ {
				fmt.Fprintf(&b, " %.1f |", 100*float64(k.Causes[c])/float64(max(k.Count, 1)))
			}
			fmt.Fprintln(&b)
		}
	}
	_, err := io.WriteString(w, b.String())
	return err
}
