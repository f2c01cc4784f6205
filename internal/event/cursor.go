package event

import "strconv"

// Cursor is the position of a caller in a stream. It is kept while several answers continue the
// stream. The zero value is that of a caller who has no events.
type Cursor struct {
	last    uint64
	isSet   bool
	skipsID bool // skipsID is set if ids rise by more than one, so that a missing event doesn't show.
}

// ParseCursor returns the cursor of a caller who has the event with the id, and all before it. An id
// that is not a number says nothing about the order of events; the cursor is then the zero value.
func ParseCursor(id string) Cursor {
	last, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return Cursor{}
	}
	return Cursor{last: last, isSet: true}
}

// IsSet reports whether the caller has an event.
func (c *Cursor) IsSet() bool { return c.isSet }

// ID returns the id of the last event that the caller has, empty if there is none.
func (c *Cursor) ID() string {
	if !c.isSet {
		return ""
	}
	return strconv.FormatUint(c.last, 10)
}

// has reports whether the caller has the event.
func (c *Cursor) has(id uint64) bool { return c.isSet && id <= c.last }

// isAt reports whether the event is the last one that the caller has.
func (c *Cursor) isAt(id uint64) bool { return c.isSet && id == c.last }

// missesBefore reports whether the caller lacks events before the one with the id.
func (c *Cursor) missesBefore(id uint64) bool { return c.isSet && !c.skipsID && id != c.last+1 }

// advance records that the caller gets the event.
func (c *Cursor) advance(id uint64) {
	c.skipsID = c.skipsID || c.isSet && id != c.last+1
	c.last, c.isSet = id, true
}
