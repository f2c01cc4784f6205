package forbidden

import "sync"

// lock is not checked for its order.
var lock sync.Mutex // want
