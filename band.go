package barleystep

// Band classifies prompts by their length in tokens.
type Band uint8

// The bands of prompt length.
const (
	// Band4k covers prompts of fewer than 4,000 tokens.
	Band4k Band = iota
	// Band16k covers prompts from 4,000 to below 16,000 tokens.
	Band16k
	// Band100k covers prompts from 16,000 to below 100,000 tokens.
	Band100k
	// Band1M covers prompts of 100,000 tokens and more.
	Band1M
)

// Bands lists all bands, shortest first.
var Bands = [...]Band{Band4k, Band16k, Band100k, Band1M}

// Lower bounds of the bands, in tokens.
const (
	band16kFrom  = 4_000
	band100kFrom = 16_000
	band1MFrom   = 100_000
)

// BandOf returns the band of a prompt with the given number of tokens.
func BandOf(tokens int) Band {
	switch {
	case tokens < band16kFrom:
		return Band4k
	case tokens < band100kFrom:
		return Band16k
	case tokens < band1MFrom:
		return Band100k
	default:
		return Band1M
	}
}

// Long reports whether prompts of the band are scheduled apart from short work.
func (b Band) Long() bool { return b >= Band100k }

// String returns the range of the band, such as "4k-16k".
func (b Band) String() string {
	return [...]string{"1k-4k", "4k-16k", "16k-100k", "100k-1M"}[b]
}
