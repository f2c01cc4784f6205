package gossip

import "time"

// relaySeenWithin is how recently a box must have been seen alive to be preferred as a relay.
const relaySeenWithin = 2 * time.Second

// Relays returns the addresses of the boxes that may connect to targets for this one: those presumed
// alive that neither leave nor are cut off from the targets themselves. Near are those of the own
// hall, far those of others, and stale those that have not been heard of for a while.
func (n *Node) Relays() (near, far, stale []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Clock.Now()
	for _, m := range n.members {
		if m.leaving || m.namedLeaving || m.cutOff || !m.presumedAlive(now) {
			continue
		}
		switch addr := m.addr.String(); {
		case now.Sub(m.lastSeen()) > relaySeenWithin:
			stale = append(stale, addr)
		case m.hall == n.Hall:
			near = append(near, addr)
		default:
			far = append(far, addr)
		}
	}
	return near, far, stale
}

// isCutOff reports whether this box reaches no target itself.
func (n *Node) isCutOff() bool { return n.CutOff != nil && n.CutOff() }

// hasCutOffBox reports whether this box or another one of its hall reaches no target itself.
func (n *Node) hasCutOffBox() bool {
	if n.isCutOff() {
		return true
	}
	for _, m := range n.members {
		if m.hall == n.Hall && m.alive && m.cutOff {
			return true
		}
	}
	return false
}
