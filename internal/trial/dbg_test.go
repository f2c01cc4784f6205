package trial

import (
	"fmt"
	"testing"
	"time"
)

func TestDbg(t *testing.T) {
	v := Variants[len(Variants)-1]
	c := Case{Variant: v, Load: Loads[1], Speed: Speeds[1], Level: 0.8, Fault: FaultNone, Seed: 3}
	s := &sim{}
	f := newFleet(s, c.Speed)
	f.dispatch = c.Variant.build(f, c.Seed)
	list := c.Load.requests(c.Seed, c.Speed, engines, c.Level, span, warmup, true)
	for _, r := range list {
		s.after(r.at, func() { f.dispatch.submit(r) })
	}
	s.every(10*time.Second, func() {
		if s.now > 1000*time.Second {
			return
		}
		o := f.dispatch.(*ours)
		read, mem, longs := "", "", 0
		for _, e := range f.engines {
			n := 0
			for _, j := range e.running {
				if j.unread > 0 {
					n++
					if j.request.band().Long() {
						longs++
					}
				}
			}
			read += fmt.Sprint(n, " ")
			mem += fmt.Sprint(e.memory/1000, "+", e.cache.tokens/1000, " ")
		}
		fmt.Println(s.now, o.dispenser, "reserved", o.dispenser.Aside(), "reading", read, "longs", longs, "mem", mem)
	})
	s.run(span + tail)
	for _, r := range list {
		if r.band().Long() && r.first-r.at > 60*time.Second {
			fmt.Println("WAIT", r.at.Round(time.Second), r.prompt, r.class, (r.first - r.at).Round(time.Second))
		}
	}
}
