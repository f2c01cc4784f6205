package barleystep

// RateLimit is how many requests a second a target takes from all boxes together. Its zero
// value is no limit.
type RateLimit struct {
	named     bool
	perSecond float64
}

// NewRateLimit returns the limit that a target has named, in requests a second.
func NewRateLimit(perSecond float64) RateLimit {
	return RateLimit{named: true, perSecond: perSecond}
}

// Named reports whether there is a limit.
func (l RateLimit) IsSet() bool { return l.named }

// PerSecond returns the limit in requests a second, zero if none is named.
func (l RateLimit) PerSecond() float64 { return l.perSecond }
