package balance_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/balance"
)

// shareModel is an engine that works off prompts at a constant rate, and the accounts that send
// them.
type shareModel struct {
	*fixture
	rng *rand.Rand
	// parallel is how many prompts the engine works on at a time, each for the given duration.
	parallel int
	duration func(prompt int) time.Duration
	freeAt   []time.Time
	waiting  []*modelPrompt
	running  []*modelPrompt
	// inTime counts, by account, the prompts that were in time.
	inTime map[string]int
}

// modelPrompt is a prompt of the model that waits or runs.
type modelPrompt struct {
	account string
	job     balance.Job
	arrival time.Time
	queued  *balance.QueuedJob
	placed  *balance.Placement
	end     time.Time
}

// modelAccount is an account that sends prompts of one length.
type modelAccount struct {
	name   string
	prompt int
	// load is the part of the engine's time that it asks for.
	load float64
}

const (
	modelStep = 5 * time.Millisecond
	// modelSlots is the number of slots of the deployments' engines. With four, a prompt that waits
	// sees two of them become free while it can be in time, and arrivals collide by chance.
	modelSlots = 12
)

func newShareModel(seed uint64, parallel int, duration func(prompt int) time.Duration) *shareModel {
	m := &shareModel{fixture: newFixture(1), rng: rand.New(rand.NewPCG(seed, 1)), parallel: parallel, duration: duration, inTime: make(map[string]int)}
	m.Rand = rand.New(rand.NewPCG(seed, 2))
	m.freeAt = make([]time.Time, parallel)
	m.targets[0].Slots = modelSlots
	return m
}

// run sends the prompts of the accounts for the given time.
func (m *shareModel) run(t *testing.T, accounts []modelAccount, length time.Duration) {
	for range length / modelStep {
		m.clock.Advance(modelStep)
		m.end()
		for _, a := range accounts {
			rate := a.load * float64(m.parallel) / m.duration(a.prompt).Seconds()
			if m.rng.Float64() < rate*modelStep.Seconds() {
				m.arrive(t, a)
			}
		}
		m.collect()
	}
}

// end ends the prompts that have run for their time.
func (m *shareModel) end() {
	now := m.clock.Now()
	running := m.running
	m.running = nil
	for _, p := range running {
		if p.end.After(now) {
			m.running = append(m.running, p)
			continue
		}
		p.placed.NoteFirstEvent()
		p.placed.Done(balance.Report{})
	}
}

func (m *shareModel) arrive(t *testing.T, a modelAccount) {
	p := &modelPrompt{account: a.name, job: engineJob(a.prompt), arrival: m.clock.Now()}
	p.job.Account = a.name
	if balance.IsLongPrompt(p.job) {
		p.job.Objective = 4 * time.Second
	}
	placed, queued, err := m.TryPlace(context.Background(), p.job)
	quicktest.Assert(t, err, quicktest.IsNil)
	if placed != nil {
		m.start(p, placed)
		return
	}
	p.queued = queued
	m.waiting = append(m.waiting, p)
}

// start has the engine work on a prompt once one of its slots is free.
func (m *shareModel) start(p *modelPrompt, placed *balance.Placement) {
	first := 0
	for i, at := range m.freeAt {
		if at.Before(m.freeAt[first]) {
			first = i
		}
	}
	begin := m.clock.Now()
	if m.freeAt[first].After(begin) {
		begin = m.freeAt[first]
	}
	p.placed, p.end = placed, begin.Add(m.duration(p.job.PromptTokens))
	m.freeAt[first] = p.end
	m.running = append(m.running, p)
	firstEvent := p.end
	if !balance.IsLongPrompt(p.job) {
		firstEvent = begin
	}
	if firstEvent.Sub(p.arrival) <= p.job.Objective {
		m.inTime[p.account]++
	}
}

// collect starts the prompts that were placed meanwhile and gives up those that waited too long.
func (m *shareModel) collect() {
	waiting := m.waiting
	m.waiting = nil
	for _, p := range waiting {
		if len(p.queued.Ready()) == 0 && m.clock.Now().Before(p.queued.Deadline()) {
			m.waiting = append(m.waiting, p)
			continue
		}
		if placed, err := m.Abandon(p.queued); err == nil {
			m.start(p, placed)
		}
	}
}

// TestBurstOfOneAccount checks that an account's burst of ten times its usual load costs the others
// at most a tenth of the prompts that were in time without it, also if its prompts are shorter, and
// so would go first. It guards against one account taking the engines from all others.
func TestBurstOfOneAccount(t *testing.T) {
	const (
		length = 200 * time.Second
		usual  = 0.13
		others = 5
	)
	prefill := func(prompt int) time.Duration { return cost.Prefill(prompt) + cost.Pass() }
	stream := func(int) time.Duration { return 400 * time.Millisecond }
	cases := map[string]struct {
		prompt   int
		burst    int // burst is the length of the prompts in the burst.
		parallel int
		duration func(prompt int) time.Duration
	}{
		"long prompts":    {100_000, 100_000, 1, prefill},
		"shorter prompts": {100_000, 60_000, 1, prefill},
		"short prompts":   {shortPrompt, shortPrompt, modelSlots, stream},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			served := func(load float64) int {
				m := newShareModel(7, tc.parallel, tc.duration)
				accounts := []modelAccount{{"bursting", tc.burst, load}}
				for i := range others {
					accounts = append(accounts, modelAccount{fmt.Sprint("other-", i), tc.prompt, usual})
				}
				m.run(t, accounts, length)
				n := 0
				for account, inTime := range m.inTime {
					if account != "bursting" {
						n += inTime
					}
				}
				return n
			}
			without, with := served(usual), served(10*usual)
			t.Logf("in time without the burst %d, with it %d", without, with)
			quicktest.Check(t, float64(with) >= 0.9*float64(without), quicktest.IsTrue, quicktest.Commentf("%d of %d", with, without))
		})
	}
}
