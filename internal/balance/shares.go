package balance

import (
	"math"
	"time"
)

// accountShares records, for one service, how much engine time each client account was granted
// lately. All sums decay alike, so they are kept in units of the time ref: a grant is scaled up by
// how much the older ones have decayed since, and comparing accounts takes no decay.
type accountShares struct {
	accounts map[string]*accountGrants
	// total is the sum over all accounts.
	total float64
	ref   time.Time
}

// accountGrants is the engine time, in seconds, that an account was granted.
type accountGrants struct {
	granted float64
	// active is when a prompt of the account last waited or was placed.
	active time.Time
}

// ShareCounts are counts for metrics of how prompts waited behind the shares of their accounts.
type ShareCounts struct {
	// Accounts is the number of accounts that are active, over all services.
	Accounts int
	// Largest is the largest share of any account: its granted time over the mean.
	Largest float64
	// Waited and Refused count the prompts since the start that waited since their account had
	// more than its share, by whether they were placed in the end or refused.
	Waited  int
	Refused int
}

const (
	// shareDecay is the mean age of the grants that count: as long as bursts of one kind last.
	shareDecay = 8 * time.Second
	// shareRetention is how long an account counts as active after its last prompt. By then a
	// twentieth of what it was granted still counts.
	shareRetention = 3 * shareDecay
	// maxShareAge bounds the age of the reference time, so that scaled sums stay small.
	maxShareAge = 20 * shareDecay
	// maxAccounts bounds the accounts of a service: twice as many as are expected.
	maxAccounts = 2048
	// shareFactor is the factor by which the share of an account must exceed the least one of those
	// that wait for its prompts to go behind: smaller differences come from single prompts.
	shareFactor = 2.0
	// minShare is the share below which accounts are not told apart.
	minShare = 0.1
)

// shareClass groups the waiting prompts whose accounts are compared.
type shareClass struct {
	service  string
	priority int
	late     bool
}

// scale returns the factor between a second that is granted now and one granted at the reference
// time.
func (s *accountShares) scale(now time.Time) float64 {
	if age := now.Sub(s.ref); age > maxShareAge {
		keep := math.Exp(-float64(age) / float64(shareDecay))
		for _, a := range s.accounts {
			a.granted *= keep
		}
		s.total *= keep
		s.ref = now
	}
	return math.Exp(float64(now.Sub(s.ref)) / float64(shareDecay))
}

// touch returns the account's grants and notes that the account is active.
func (s *accountShares) touch(account string, now time.Time) *accountGrants {
	a, ok := s.accounts[account]
	if !ok {
		s.makeRoom(now)
		a = &accountGrants{}
		s.accounts[account] = a
	}
	a.active = now
	return a
}

// makeRoom makes room for another account: it forgets those that are idle, or else the one that has
// been inactive for longest.
func (s *accountShares) makeRoom(now time.Time) {
	if len(s.accounts) < maxAccounts {
		return
	}
	s.prune(now)
	if len(s.accounts) < maxAccounts {
		return
	}
	oldest := ""
	for name, a := range s.accounts {
		if o := s.accounts[oldest]; o == nil || a.active.Before(o.active) {
			oldest = name
		}
	}
	s.forget(oldest)
}

// prune forgets the accounts that are idle.
func (s *accountShares) prune(now time.Time) {
	for name, a := range s.accounts {
		if now.Sub(a.active) > shareRetention {
			s.forget(name)
		}
	}
}

func (s *accountShares) forget(account string) {
	s.total = max(s.total-s.accounts[account].granted, 0)
	delete(s.accounts, account)
	if len(s.accounts) == 0 {
		s.total = 0 // Rounding errors do not add up.
	}
}

// share returns what the account was granted over the mean of the active accounts.
func (s *accountShares) share(account string) float64 {
	a, ok := s.accounts[account]
	if !ok || s.total <= 0 {
		return 0
	}
	return a.granted / s.total * float64(len(s.accounts))
}

// sharesOf returns the shares of the job's service.
func (b *Balancer) sharesOf(service string) *accountShares {
	s, ok := b.shares[service]
	if !ok {
		if b.shares == nil {
			b.shares = make(map[string]*accountShares)
		}
		s = &accountShares{accounts: make(map[string]*accountGrants), ref: b.Clock.Now()}
		b.shares[service] = s
	}
	return s
}

// hasShare reports whether the job is subject to shares: older boxes name no account.
func (j Job) hasShare() bool { return j.Cost != nil && j.Account != "" }

// accountShare returns the engine time that the job's account was granted lately over the mean of
// the accounts that are active; zero if it was granted none.
func (b *Balancer) accountShare(j Job) float64 { return b.sharesOf(j.Service).share(j.Account) }

// noteShareWait notes that a prompt of the account waits.
func (b *Balancer) noteShareWait(j Job) {
	if j.hasShare() {
		b.sharesOf(j.Service).touch(j.Account, b.Clock.Now())
	}
}

// chargeShare charges the account with the engine time of a placement. Only grants are charged, so
// that a caller that returns after a refusal is charged once, and so is one whose targets failed it.
func (b *Balancer) chargeShare(j Job, p *Placement) {
	if !j.hasShare() || j.Replacement {
		return
	}
	p.service, p.account, p.charged = j.Service, j.Account, j.Cost.Prefill(j.PromptTokens)
	b.addShare(p, b.Clock.Now(), p.charged.Seconds())
}

// refundShare takes back the charge of a placement that came to nothing.
func (b *Balancer) refundShare(p *Placement) {
	if p.charged == 0 || p.prefilled {
		return
	}
	b.addShare(p, p.sent, -p.charged.Seconds())
	p.charged = 0
}

// addShare adds seconds that were granted at the given time to the account of the placement.
func (b *Balancer) addShare(p *Placement, at time.Time, seconds float64) {
	s := b.sharesOf(p.service)
	factor := s.scale(b.Clock.Now())
	if age := b.Clock.Now().Sub(at); age > 0 {
		factor *= math.Exp(-float64(age) / float64(shareDecay))
	}
	a := s.touch(p.account, b.Clock.Now())
	change := max(seconds*factor, -a.granted)
	a.granted += change
	s.total = max(s.total+change, 0)
}

// markShares notes which of the queued jobs go behind others since their accounts have more than
// their share.
func (b *Balancer) markShares(q []*QueuedJob) {
	several := false
	for _, w := range q {
		w.overShare, w.aheadByShare = false, false
		several = several || w.job.Account != q[0].job.Account
	}
	if !several {
		return
	}
	now := b.Clock.Now()
	levels := b.shareLevels(q, now)
	for _, w := range q {
		if w.share > shareFactor*levels.of(w).least {
			w.overShare, levels.of(w).over = true, true
		}
		if w.overShare && w.overSince.IsZero() {
			w.overSince = now
		}
	}
	for _, w := range q {
		w.aheadByShare = !w.overShare && levels.of(w).over
	}
}

// shareLevel is the least share of the jobs of a class, and whether some of them are over it.
type shareLevel struct {
	class shareClass
	least float64
	over  bool
}

// shareLevels holds the level of each class. They are so few that a search is faster than a map.
type shareLevels []shareLevel

// of returns the level of the job's class.
func (l *shareLevels) of(w *QueuedJob) *shareLevel {
	class := w.shareClass()
	for i := range *l {
		if (*l)[i].class == class {
			return &(*l)[i]
		}
	}
	*l = append(*l, shareLevel{class: class, least: math.Inf(1)})
	return &(*l)[len(*l)-1]
}

// shareLevels notes the share of each queued job, zero if it has none, and returns the levels.
func (b *Balancer) shareLevels(q []*QueuedJob, now time.Time) *shareLevels {
	levels := &shareLevels{}
	for _, w := range q {
		w.share = 0
		if !w.job.hasShare() || w.cancelled {
			continue
		}
		w.share, w.late = max(b.accountShare(w.job), minShare), w.isLate(now)
		level := levels.of(w)
		level.least = min(level.least, w.share)
	}
	return levels
}

func (w *QueuedJob) shareClass() shareClass {
	return shareClass{w.job.Service, w.job.Priority, w.late}
}

// isLate reports whether the job can no longer be in time.
func (w *QueuedJob) isLate(now time.Time) bool {
	if IsLongPrompt(w.job) {
		return !w.isFeasible(now)
	}
	return !w.canBeInTime(now)
}

// shareOrder returns a negative number if the first job goes before the second one since its
// account was granted clearly less, a positive one if it goes after, and zero if shares do not
// decide. Those of jobs that can be in time do not count against those that cannot.
func shareOrder(a, b *QueuedJob) int {
	switch {
	case a.overShare == b.overShare || a.shareClass() != b.shareClass():
		return 0
	case b.overShare:
		return -1
	default:
		return 1
	}
}

// noteShareOutcome counts a job that has waited behind the share of its account, and logs it if its
// prompt is long; short ones may come by the hundred.
func (b *Balancer) noteShareOutcome(w *QueuedJob, placed bool) {
	if w.overSince.IsZero() || !b.Clock.Now().After(w.overSince) {
		return // It did not wait, or not for that.
	}
	if placed {
		b.shareWaited++
	} else {
		b.shareRefused++
	}
	if b.Log == nil || !IsLongPrompt(w.job) {
		return
	}
	b.Log.Info().Str("request", w.job.RequestID).Str("account", w.job.Account).Float64("share", b.accountShare(w.job)).
		Int("accounts", len(b.sharesOf(w.job.Service).accounts)).Bool("placed", placed).Dur("waited", b.Clock.Now().Sub(w.job.Arrival)).
		Msg(logPrefix + "A long prompt waited since its account had more than its share.")
}

// pruneShares forgets idle accounts.
func (b *Balancer) pruneShares() {
	for service, s := range b.shares {
		s.prune(b.Clock.Now())
		if len(s.accounts) == 0 {
			delete(b.shares, service)
		}
	}
}

// ShareCounts returns the counts of how prompts waited behind the shares of their accounts.
func (b *Balancer) ShareCounts() ShareCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := ShareCounts{Waited: b.shareWaited, Refused: b.shareRefused}
	for _, s := range b.shares {
		c.Accounts += len(s.accounts)
		for account := range s.accounts {
			c.Largest = max(c.Largest, s.share(account))
		}
	}
	return c
}
