// Package config defines the configuration that operators submit: its file format,
// the validated View of a version, and the changes between versions.
package config

import (
	"bytes"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
)

// File is the configuration in the TOML format that operators write.
type File struct {
	Accounts []Account `toml:"account,omitempty"`
	Classes  []Class   `toml:"class,omitempty"`
	Policies []Policy  `toml:"policy,omitempty"`
	Models   []Model   `toml:"model,omitempty"`
	Targets  []Target  `toml:"target,omitempty"`
	Services []Service `toml:"service,omitempty"`
}

// Account is a client account that shares the fleet.
type Account struct {
	Name string `toml:"name" json:"name"`
	// Weight is the account's share of a contended fleet relative to the other
	// accounts; the default is 1.
	Weight float64 `toml:"weight,omitempty" json:"weight,omitempty"`
	// Rate limits prompt and output tokens per second over all halls; zero means no
	// limit.
	Rate float64 `toml:"rate,omitempty" json:"rate,omitempty"`
	// Labels are arbitrary words that policies may use.
	Labels []string `toml:"labels,omitempty" json:"labels,omitempty"`
	// Classes lists the classes that the account may use; empty means all.
	Classes []string `toml:"classes,omitempty" json:"classes,omitempty"`
	// Team is the team of operators that may change the account.
	Team string `toml:"team,omitempty" json:"team,omitempty"`
	Keys []Key  `toml:"key,omitempty" json:"keys,omitempty"`
}

// Key is an access key of an account. Only its hash is stored.
type Key struct {
	ID string `toml:"id" json:"id"`
	// SHA256 is the lower-case hexadecimal SHA-256 hash of the key.
	SHA256  string `toml:"sha256" json:"sha256"`
	Revoked bool   `toml:"revoked,omitempty" json:"revoked,omitempty"`
}

// Class is a priority class.
type Class struct {
	Name string `toml:"name" json:"name"`
	// Rank orders the classes; requests of a lower rank go first.
	Rank int `toml:"rank" json:"rank"`
	// Limit is the time limit of requests that set none; the default is 10 minutes.
	Limit Duration `toml:"limit,omitempty" json:"limit,omitempty"`
}

// Policy is a program that sets the accounts' shares and the order of requests.
type Policy struct {
	Name    string `toml:"name" json:"name"`
	Program string `toml:"program" json:"program"`
	// Weighing sets the priority of short prompts over long ones: 0 serves short
	// prompts first, 1 treats all alike; the default is 0.
	Weighing float64 `toml:"weighing,omitempty" json:"weighing,omitempty"`
}

// Model is a model that engines serve.
type Model struct {
	Name string `toml:"name" json:"name"`
	// EngineTokens is the size of one engine's KV cache, in tokens.
	EngineTokens int `toml:"engine_tokens" json:"engine_tokens"`
	// MaxPrompt is the maximum length of a prompt in tokens.
	MaxPrompt int `toml:"max_prompt" json:"max_prompt"`
	// MaxOutput is the maximum number of generated tokens; the default is 4096.
	MaxOutput int `toml:"max_output,omitempty" json:"max_output,omitempty"`
	// PrefillRate is the assumed prefill rate of an engine in tokens per second until
	// a rate has been observed; the default is 8000.
	PrefillRate float64 `toml:"prefill_rate,omitempty" json:"prefill_rate,omitempty"`
}

// Target is an engine or a server of a plain service.
type Target struct {
	ID   string `toml:"id" json:"id"`
	Hall string `toml:"hall" json:"hall"`
	URL  string `toml:"url" json:"url"`
	// Model or Service is what the target serves; exactly one of them is set.
	Model   string `toml:"model,omitempty" json:"model,omitempty"`
	Service string `toml:"service,omitempty" json:"service,omitempty"`
	// Drain stops new work from being sent to the target.
	Drain bool `toml:"drain,omitempty" json:"drain,omitempty"`
	// ChecksFence means that the target itself refuses orders with an old fencing
	// token.
	ChecksFence bool `toml:"checks_fence,omitempty" json:"checks_fence,omitempty"`
	// Weights is the version of the model that the target should have loaded.
	Weights string `toml:"weights,omitempty" json:"weights,omitempty"`
}

// Service is a plain service, served by targets other than engines.
type Service struct {
	Name string `toml:"name" json:"name"`
}

// Duration is a time.Duration that is encoded as text, such as "90s".
type Duration time.Duration

// UnmarshalText decodes a duration such as "90s".
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// MarshalText encodes the duration in the form that UnmarshalText decodes.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// ParseFile parses a configuration file. Unknown keys are an error.
func ParseFile(text []byte) (f File, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "config: read file")
		}
	}()
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	err = d.Decode(&f)
	return f, err
}
