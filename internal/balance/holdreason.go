package balance

// holdReason is why a job could not be placed when it was last tried.
type holdReason uint8

const (
	// holdNone means that the job was not tried yet, or is placed.
	holdNone holdReason = iota
	// holdSlots means that all engines for short prompts are full.
	holdSlots
	// holdBehind means that a job ahead of it could not be placed either.
	holdBehind
	// holdPrefill means that its engines still prefill other prompts.
	holdPrefill
	// holdLate means that it can no longer be in time, and the engines are kept for others.
	holdLate
	// holdMemory means that its helpers lack KV cache.
	holdMemory
	// holdStreams means that the streams that it would stall are worth more, or end soon.
	holdStreams
	// holdLimit means that all its targets rest or have used up their rate limits.
	holdLimit
	// holdSuspect means that it is a suspect and must run alone, while another one runs or no
	// engine is left.
	holdSuspect
)

// String returns the reason in words.
func (h holdReason) String() string {
	return [...]string{"not tried", "slots are taken", "behind another", "engines read", "it would be late", "memory is lacking", "streams are worth more", "limits are used up or targets rest", "a suspect runs"}[h]
}
