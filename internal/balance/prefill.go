package balance

import "time"

// newsLag is how long after a prompt was read, and written for one pass, this box
// knows of it at the latest.
const newsLag = 40 * time.Millisecond

// expectRead notes that the target is going to read a part, after those that it has.
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
		p.prefillEnd = p.prefillEnd.Add(p.pass) // Somebody writes there meanwhile.
	}
}

// unread reports whether the target has a part to read.
func (p *part) isPrefilling() bool { return p.prefill > 0 }

// remaining returns how long the target still reads the part. A part that is late is
// taken to last for as long again as it is late: the target is slower than its cost
// model, or has something else to read.
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
