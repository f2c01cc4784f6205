package barleystep

// Membership tracks which boxes of the own hall are alive. Implementations are safe for
// concurrent use.
type Membership interface {
	// Alive returns the live boxes of the hall including this one, sorted by name.
	Alive() []BoxID
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}
