package config

// Source provides the current version. Implementations are safe for concurrent use.
type Source interface {
	// View returns the current version, nil before there is one, and whether it was
	// recently confirmed to be the newest.
	View() (v *View, confirmed bool)
}

var _ Source = Fixed{}

// Fixed is a Source whose version never changes, for tests and tools.
type Fixed struct{ view *View }

// NewFixed returns a Source of the given version.
func NewFixed(v *View) Fixed { return Fixed{view: v} }

// View returns the version, always as confirmed.
func (f Fixed) View() (v *View, confirmed bool) { return f.view, true }
