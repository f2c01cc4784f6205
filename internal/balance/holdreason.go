package balance

// hold says why a job was given no place the last time that it was tried.
type holdReason uint8

const (
	// holdNone is that of a job that was not tried yet, or that has a place.
	holdNone holdReason = iota
	// holdSlots is that all engines for short prompts are full.
	holdSlots
	// holdBehind is that another job before it found no place either.
	holdBehind
	// holdReading is that its engines still read something else.
	holdPrefill
	// holdMemory is that its helpers lack the memory.
	holdMemory
	// holdStreams is that the streams that it would hold up are worth more, or end soon.
	holdStreams
	// holdLimit is that all its targets have named a limit, which is used up, or rest.
	holdLimit
	// holdTrial is that it is a suspect, which runs alone, and that another one does, or no
	// engine is left for it.
	holdSuspect
)

// String returns the cause in words.
func (h holdReason) String() string {
	return [...]string{"not tried", "slots are taken", "behind another", "engines read", "memory is lacking", "streams are worth more", "limits are used up or targets rest", "a suspect runs"}[h]
}
