package plane

import "time"

// followWait is how long one call waits for a change. Each answer proves that
// none was missed until it was asked for, so that the proof, on which other boxes
// rely too, is at most twice as old, which leaves them some time below the limit
// from which on they read the store themselves.
const followWait = 500 * time.Millisecond
