package soak

import "fmt"

// hallCount is the number of halls, over which boxes and targets are spread by their numbers.
const hallCount = 2

// hallOf returns the hall of the box or target slot with this number.
func hallOf(number int) string { return fmt.Sprintf("h%d", number%hallCount) }
