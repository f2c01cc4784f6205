package balance

import "time"

// newsLag is how long after a prompt was read, and written for one pass, this box
// knows of it at the latest.
const newsLag = 40 * time.Millisecond

// expectRead notes that the target is going to read a part, after those that it has.
func (b *Balancer) expectRead(s *state, p *part) {
	if p.share == 0 {
		return
	}
	begin := b.Clock.Now()
	for _, o := range s.parts {
		if o.unread() && o.until.After(begin) {
			begin = o.until
		}
	}
	p.until = begin.Add(p.share)
	if len(s.parts) > 0 {
		p.until = p.until.Add(p.pass) // Somebody writes there meanwhile.
	}
}

// unread reports whether the target has a part to read.
func (p *part) unread() bool { return p.share > 0 }

// remaining returns how long the target still reads the part. A part that is late is
// taken to last for as long again as it is late: the target is slower than its cost
// model, or has something else to read.
func (p *part) remaining(now time.Time) time.Duration {
	if !p.unread() {
		return 0
	}
	if left := p.until.Sub(now); left > 0 {
		return left
	}
	known := p.until.Add(newsLag + 2*p.pass)
	return max(now.Sub(known), 0)
}
