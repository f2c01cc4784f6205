package trial

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/barleystep/barleystep"
)

// Plan describes which cases to run.
type Plan struct {
	// Seeds is the number of runs of each case, each with its own random workload.
	Seeds   int
	Workers int
	// Quick runs only the engines of middle speed and leaves out the faults.
	Quick bool
}

// Level is the utilization of the fleet's prefill rate by a workload.
type Level struct {
	Name        string
	Utilization float64
}

// Levels lists the utilizations that the tables cover. "full" leaves an engine time
// for decoding.
var Levels = []Level{{"light", 0.3}, {"full", 0.8}, {"1.3 x full", 1.04}}

// cell is a case with its result and the result of the same case without long
// prompts.
type cell struct {
	level     Level
	mixed     Case
	result    Result
	shortOnly Result
}

// WriteTables runs the plan and writes its tables as Markdown.
func WriteTables(w io.Writer, p Plan) error {
	for _, load := range Workloads {
		for _, speed := range p.speeds() {
			if err := p.writeTable(w, load, speed); err != nil {
				return err
			}
		}
	}
	if p.Quick {
		return nil
	}
	for _, load := range Workloads {
		if err := p.writeFaultTable(w, load); err != nil {
			return err
		}
	}
	return nil
}

func (p Plan) speeds() []EngineSpeed {
	if p.Quick {
		return EngineSpeeds[1:2]
	}
	return EngineSpeeds
}

func (p Plan) writeTable(w io.Writer, load Workload, speed EngineSpeed) error {
	var cells []*cell
	for _, level := range Levels {
		for _, v := range Strategies {
			cells = append(cells, &cell{level: level, mixed: Case{
				Strategy: v, Workload: load, EngineSpeed: speed, Utilization: level.Utilization, Fault: FaultNone,
			}})
		}
	}
	p.runCells(cells)
	title := fmt.Sprintf("%s, %s engines (%.0f tokens/s)", load.Name, speed.Name, speed.PrefillRate)
	return writeMarkdown(w, title, "load", cells, func(c *cell) string { return c.level.Name })
}

func (p Plan) writeFaultTable(w io.Writer, load Workload) error {
	var cells []*cell
	current := Strategies[len(Strategies)-1]
	for _, f := range Faults {
		cells = append(cells, &cell{level: Levels[1], mixed: Case{
			Strategy: current, Workload: load, EngineSpeed: EngineSpeeds[1], Utilization: Levels[1].Utilization, Fault: f,
		}})
	}
	p.runCells(cells)
	title := fmt.Sprintf("%s, middle engines, full load, with faults", load.Name)
	return writeMarkdown(w, title, "fault", cells, func(c *cell) string { return string(c.mixed.Fault) })
}

// runCells runs all cells, up to Workers at a time. Each run is deterministic
// whatever runs beside it.
func (p Plan) runCells(cells []*cell) {
	var wait sync.WaitGroup
	slots := make(chan struct{}, max(p.Workers, 1))
	for _, c := range cells {
		slots <- struct{}{}
		wait.Go(func() {
			c.result = p.runSeeds(c.mixed)
			short := c.mixed
			short.ShortOnly = true
			short.Fault = FaultNone
			c.shortOnly = p.runSeeds(short)
			<-slots
		})
	}
	wait.Wait()
}

// runSeeds runs the case once for each seed and merges the results.
func (p Plan) runSeeds(c Case) Result {
	c.Seed = 1
	sum := Run(c)
	for seed := 2; seed <= p.Seeds; seed++ {
		c.Seed = uint64(seed)
		sum.merge(Run(c))
	}
	return sum
}

func writeMarkdown(w io.Writer, title, first string, cells []*cell, label func(*cell) string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "\n### %s\n\n", title)
	fmt.Fprintf(&b, "| %s | decided by | %s | slowdown of short, p95 | good | refused | starved | fairness | cached |\n", first, bandTitles())
	fmt.Fprintf(&b, "|---|---|%s---|---|---|---|---|---|\n", strings.Repeat("---|", len(barleystep.Bands)))
	for _, c := range cells {
		r := c.result
		fmt.Fprintf(&b, "| %s | %s | %s | %.2f | %.3f | %d | %d | %.3f | %.2f |\n", label(c), c.mixed.Strategy.Name,
			bandCells(r), slowdown(c), float64(r.InTime)/float64(max(r.Requests, 1)), r.Refused, r.Starved, r.Fairness, r.CachedShare)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func bandTitles() string {
	names := make([]string, len(barleystep.Bands))
	for i, b := range barleystep.Bands {
		names[i] = b.String()
	}
	return strings.Join(names, " | ")
}

// bandCells returns the p50, p95 and p99 of the time to first token of each band,
// in seconds.
func bandCells(r Result) string {
	cells := make([]string, len(r.TTFT))
	for i, h := range r.TTFT {
		cells[i] = fmt.Sprintf("%s / %s / %s", quantile(h, 50), quantile(h, 95), quantile(h, 99))
	}
	return strings.Join(cells, " | ")
}

func quantile(h *hdrhistogram.Histogram, q float64) string {
	d := time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
	return fmt.Sprintf("%.2f", d.Seconds())
}

// slowdown returns the p95 time to first token of short prompts with long prompts
// beside them, as a multiple of the p95 without.
func slowdown(c *cell) float64 {
	return float64(c.result.ShortTTFT.ValueAtQuantile(95)) / float64(c.shortOnly.ShortTTFT.ValueAtQuantile(95))
}
