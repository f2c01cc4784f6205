// Command draw generates random bench days with faults between boxes and targets:
// corrupted, repeated, late and lost answers while targets fail, hang, crash and have
// their connections reset, on all services at once and throughout the day. The same
// seed gives the same days.
//
//	go run ./deploy/days/draw --service cititor-model --service portal-coop --count 12 DIR
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
)

// generator holds the command's settings.
type generator struct {
	services []string
	count    int
	seed     uint64
}

const (
	// daySeconds is how long callers send requests, in seconds.
	daySeconds = 44
	// faultPeriodSeconds is the interval between new faults of a service, in seconds.
	faultPeriodSeconds = 4
	// lastStartSeconds is the time before which faults are started, in seconds, so that
	// they end with the day.
	lastStartSeconds = 40
)

// The variants ("how") of the kinds of faults that the bench knows.
var (
	answerFaults    = []string{"", "extra", "extra late", "unframed", "early", "unframed extra", "rot"}
	targetFaults    = []string{"errors", "shed", "busy", "hang", "reset", "mute", "slow"}
	lostAnswerModes = []string{"", "reset"}
	crashModes      = []string{"", "dark"}
)

func main() {
	d := &generator{}
	cmd := &cobra.Command{
		Use:          "draw DIR",
		Short:        "Draws days of trouble between boxes and targets.",
		Args:         cobra.ExactArgs(1),
		SilenceUsage: true,
		RunE:         func(_ *cobra.Command, args []string) error { return d.run(args[0]) },
	}
	cmd.Flags().StringArrayVar(&d.services, "service", nil, "a service of the deployment (repeat for each)")
	cmd.Flags().IntVar(&d.count, "count", 1, "how many days")
	cmd.Flags().Uint64Var(&d.seed, "seed", 1, "what the days are drawn from")
	if cmd.Execute() != nil {
		os.Exit(1)
	}
}

func (d *generator) run(dir string) (err error) {
	defer func() { err = eris.Wrap(err, "draw: write days") }()
	for i := range d.count {
		name := fmt.Sprintf("answers-%d-%d", d.seed, i)
		text := d.dayTOML(name, rand.New(rand.NewPCG(d.seed, uint64(i))))
		if err := os.WriteFile(filepath.Join(dir, name+".toml"), []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// dayTOML returns one day in the bench's TOML format.
func (d *generator) dayTOML(name string, r *rand.Rand) string {
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\nslot = \"trouble\"\nseed = %d\nlength_s = %d\n", name, r.IntN(1_000_000), daySeconds)
	b.WriteString("one = 0.8\nzero = 0.3\ngoal = { floor = 0.1 }\nlabels = []\nplan = []\nfaults = [\n")
	for at := 1; at < lastStartSeconds; at += faultPeriodSeconds {
		for _, s := range d.services {
			for _, entry := range serviceFaults(r, s, float64(at)) {
				b.WriteString("  " + entry + "\n")
			}
		}
	}
	b.WriteString("]\n")
	return b.String()
}

// serviceFaults draws the faults of a service, which start at most 3 seconds after at.
func serviceFaults(r *rand.Rand, service string, at float64) []string {
	entry := func(kind string, share, x, length float64, how string) string {
		return fmt.Sprintf("{ at = %.1f, kind = %q, service = %q, share = %.2f, x = %.3f, for_s = %.1f, how = %q },",
			at+uniform(r, 0, 3), kind, service, share, x, length, how)
	}
	list := []string{
		entry("garble", uniform(r, 0.4, 0.9), uniform(r, 0.02, 0.2), uniform(r, 3, 6), choose(r, answerFaults)),
		entry("srv_grey", uniform(r, 0.15, 0.6), uniform(r, 0.2, 0.6), uniform(r, 2, 5), choose(r, targetFaults)),
	}
	if r.Float64() < 0.4 {
		list = append(list, entry("answer_lost", 0.6, uniform(r, 0.02, 0.3), 4, choose(r, lostAnswerModes)))
	}
	if r.Float64() < 0.3 {
		list = append(list, fmt.Sprintf("{ at = %.1f, kind = \"srv_crash\", service = %q, share = %.2f, for_s = 3.0, how = %q },",
			at+uniform(r, 0, 3), service, uniform(r, 0.1, 0.3), choose(r, crashModes)))
	}
	if r.Float64() < 0.3 {
		list = append(list, fmt.Sprintf("{ at = %.1f, kind = \"reset_conns\", share = 0.5, x = 0.6 },", at+uniform(r, 0, 3)))
	}
	return list
}

func uniform(r *rand.Rand, from, to float64) float64 { return from + (to-from)*r.Float64() }

func choose(r *rand.Rand, of []string) string { return of[r.IntN(len(of))] }
