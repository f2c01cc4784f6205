package balance

import "time"

// newsLag bounds how long after a prompt was prefilled, and decoded for one pass, this box knows of
// it.
const newsLag = 40 * time.Millisecond

// schedulePrefill sets when the target is expected to have prefilled a part, after those that it
// already has.
func (b *Balancer) schedulePrefill(s *targetState, p *part) {
	if p.prefill == 0 {
		return
	}
	begin := b.Clock.Now()
	for _, o := range s.parts {
		if o.isPrefilling() && o.prefillEnd.After(begin) {
			begin = o.prefillEnd
		}
	}
	p.prefillEnd = begin.Add(p.prefill)
	if len(s.parts) > 0 {
		p.prefillEnd = p.prefillEnd.Add(p.pass) // Streams decode there meanwhile.
	}
}

// isPrefilling reports whether the target has yet to prefill the part.
func (p *part) isPrefilling() bool { return p.prefill > 0 }

// remaining returns how long the target still prefills the part. An overdue part is assumed to last
// for as long again as it is overdue: the target is slower than its cost model, or busy with
// something else.
func (p *part) remaining(now time.Time) time.Duration {
	if !p.isPrefilling() {
		return 0
	}
	if left := p.prefillEnd.Sub(now); left > 0 {
		return left
	}
	known := p.prefillEnd.Add(newsLag + 2*p.pass)
	return max(now.Sub(known), 0)
}
