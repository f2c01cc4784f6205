package barleystep

// Membership tells which boxes of the own hall are alive. Implementations are
// safe for concurrent use.
type Membership interface {
	// Alive returns the boxes of the hall that are alive, this box among them,
	// sorted by name.
	Alive() []BoxID
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}
