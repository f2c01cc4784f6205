//go:build !race

package plane_test

// raceEnabled tells that the race detector makes everything some ten times slower.
const raceEnabled = false
