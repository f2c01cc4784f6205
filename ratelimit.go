package barleystep

// RateLimit is the request rate that a target accepts from all boxes together. The zero value
// is no limit.
type RateLimit struct {
	named     bool
	perSecond float64
}

// NewRateLimit returns a limit in requests per second.
func NewRateLimit(perSecond float64) RateLimit {
	return RateLimit{named: true, perSecond: perSecond}
}

// IsSet reports whether there is a limit.
func (l RateLimit) IsSet() bool { return l.named }

// PerSecond returns the limit in requests per second, zero if there is none.
func (l RateLimit) PerSecond() float64 { return l.perSecond }
