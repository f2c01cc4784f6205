package gate

import (
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/mutex"
)

// prompt holds the fields of a body that placement and admission need.
type prompt struct {
	body      []byte
	model     string
	textBytes int
	tokens    int // tokens is the estimated prompt length in tokens.
	maxOutput int // maxOutput is the maximum number of tokens to generate.
	prefix    []uint64
}

const (
	defaultRatio = 4.0 // defaultRatio is the initial estimate of bytes per token.
	// minPrefixSize is the length in bytes of the shortest prefix that is hashed; each further
	// prefix is twice as long.
	minPrefixSize = 4 << 10
	// minRatio and maxRatio bound an observation of bytes per token.
	minRatio = 1.0
	maxRatio = 8.0
	// smoothing is the weight of a new observation in the moving average of bytes per token.
	smoothing = 0.05
)

// fields are the JSON fields of a body that parsePrompt uses.
type fields struct {
	model, messages, prompt, maxCompletion, maxTokens gjson.Result
}

// readFields returns the fields of a body in a single pass, since each pass over a long prompt
// takes milliseconds. If a field occurs twice, the last one counts, as in engines.
func readFields(body []byte) (f fields) {
	gjson.Parse(string(body)).ForEach(func(key, value gjson.Result) bool {
		switch key.Str {
		case "model":
			f.model = value
		case "messages":
			f.messages = value
		case "prompt":
			f.prompt = value
		case "max_completion_tokens":
			f.maxCompletion = value
		case "max_tokens":
			f.maxTokens = value
		}
		return true
	})
	return f
}

// parsePrompt parses a body without changing it. It refuses invalid JSON and an empty prompt.
func parsePrompt(body []byte) (p prompt, err error) {
	if !gjson.ValidBytes(body) {
		return prompt{}, refuse(barleystep.ReasonMalformed, "The body is not valid JSON.")
	}
	f := readFields(body)
	text := f.messages
	if !text.Exists() {
		text = f.prompt
	}
	if isEmpty(text) {
		return prompt{}, refuse(barleystep.ReasonEmptyPrompt, "The prompt is empty.")
	}
	maxOutput := f.maxCompletion
	if !maxOutput.Exists() {
		maxOutput = f.maxTokens
	}
	return prompt{
		body:      body,
		model:     f.model.String(),
		textBytes: len(text.Raw),
		maxOutput: int(maxOutput.Int()),
		prefix:    prefixHashes(text.Raw),
	}, nil
}

// maxEmptyArray bounds the bytes of an array that isEmpty checks: an empty array with more
// white space than this counts as a prompt.
const maxEmptyArray = 64

func isEmpty(text gjson.Result) bool {
	switch {
	case text.IsArray():
		return len(strings.TrimSpace(text.Raw[1:min(len(text.Raw), maxEmptyArray)])) <= 1
	case text.Type == gjson.String:
		return text.Str == ""
	default:
		return true
	}
}

// prefixHashes returns hashes of prefixes of doubling length, shortest first.
func prefixHashes(text string) []uint64 {
	var hashes []uint64
	d := xxhash.New()
	hashed := 0
	for size := minPrefixSize; size <= len(text); size *= 2 {
		_, _ = d.WriteString(text[hashed:size]) // Writing to a hash never fails.
		hashed = size
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}

// Estimator estimates prompt lengths in tokens from the usage that engines report. Its zero value
// is ready to use; it is safe for concurrent use.
type Estimator struct {
	mu     mutex.Mutex
	ratios map[string]float64 // ratios holds bytes per token by model.
}

// Tokens returns the estimated number of tokens of a text of the given size.
func (e *Estimator) Tokens(model string, textBytes int) int {
	return int(float64(textBytes)/e.ratio(model)) + 1
}

// Observe updates the model's bytes per token with the usage of one prompt.
func (e *Estimator) Observe(model string, textBytes, tokens int) {
	if textBytes <= 0 || tokens <= 0 {
		return
	}
	observed := min(max(float64(textBytes)/float64(tokens), minRatio), maxRatio)
	old := e.ratio(model)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ratios == nil {
		e.ratios = make(map[string]float64)
	}
	e.ratios[model] = old + smoothing*(observed-old)
}

func (e *Estimator) ratio(model string) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r, ok := e.ratios[model]; ok {
		return r
	}
	return defaultRatio
}
