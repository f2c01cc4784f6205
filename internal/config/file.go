// Package config holds the configuration that operators submit: its file
// format, its checked View, and the increments between versions.
package config

import (
	"bytes"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
)

// File is the configuration as operators write it, in TOML.
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
	// Weight is the account's part of a contended fleet against the others;
	// the default is 1.
	Weight float64 `toml:"weight,omitempty" json:"weight,omitempty"`
	// Rate bounds prompt and output tokens per second over all halls; zero is
	// no bound.
	Rate float64 `toml:"rate,omitempty" json:"rate,omitempty"`
	// Labels are free words that policies may read.
	Labels []string `toml:"labels,omitempty" json:"labels,omitempty"`
	// Classes names the classes that the account may use; empty means all.
	Classes []string `toml:"classes,omitempty" json:"classes,omitempty"`
	// Team names the operators who may change the account.
	Team string `toml:"team,omitempty" json:"team,omitempty"`
	Keys []Key  `toml:"key,omitempty" json:"keys,omitempty"`
}

// Key is one access key of an account. Only its hash is kept.
type Key struct {
	ID string `toml:"id" json:"id"`
	// SHA256 is the lower-case hexadecimal SHA-256 hash of the key.
	SHA256  string `toml:"sha256" json:"sha256"`
	Revoked bool   `toml:"revoked,omitempty" json:"revoked,omitempty"`
}

// Class is a priority class.
type Class struct {
	Name string `toml:"name" json:"name"`
	// Rank orders classes, lower first.
	Rank int `toml:"rank" json:"rank"`
	// Limit is the default time limit of a request; the default is 10 minutes.
	Limit Duration `toml:"limit,omitempty" json:"limit,omitempty"`
}

// Policy is a program that decides shares and order.
type Policy struct {
	Name    string `toml:"name" json:"name"`
	Program string `toml:"program" json:"program"`
	// Weighing moves the balance between short and long prompts: 0 serves short
	// prompts first, 1 treats all alike; the default is 0.
	Weighing float64 `toml:"weighing,omitempty" json:"weighing,omitempty"`
}

// Model is a model that engines serve.
type Model struct {
	Name string `toml:"name" json:"name"`
	// EngineTokens is the KV memory of one engine, in tokens.
	EngineTokens int `toml:"engine_tokens" json:"engine_tokens"`
	// MaxPrompt is the longest prompt in tokens that is served at all.
	MaxPrompt int `toml:"max_prompt" json:"max_prompt"`
	// MaxOutput is the most tokens generated; the default is 4096.
	MaxOutput int `toml:"max_output,omitempty" json:"max_output,omitempty"`
	// PrefillRate is an engine's reading speed in tokens per second, used until
	// speeds have been observed; the default is 8000.
	PrefillRate float64 `toml:"prefill_rate,omitempty" json:"prefill_rate,omitempty"`
}

// Target is one engine or one server of a plain service.
type Target struct {
	ID   string `toml:"id" json:"id"`
	Hall string `toml:"hall" json:"hall"`
	URL  string `toml:"url" json:"url"`
	// Model or Service says what the target serves; exactly one is set.
	Model   string `toml:"model,omitempty" json:"model,omitempty"`
	Service string `toml:"service,omitempty" json:"service,omitempty"`
	// Drain keeps new work away.
	Drain bool `toml:"drain,omitempty" json:"drain,omitempty"`
	// ChecksFence says that the target itself refuses orders with an old token.
	ChecksFence bool `toml:"checks_fence,omitempty" json:"checks_fence,omitempty"`
	// Weights is the version of the model that the target should have loaded.
	Weights string `toml:"weights,omitempty" json:"weights,omitempty"`
}

// Service is a plain service beside the engines.
type Service struct {
	Name string `toml:"name" json:"name"`
}

// Duration is a time.Duration that is written as text, such as "90s".
type Duration time.Duration

// UnmarshalText reads a duration such as "90s".
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// MarshalText writes the duration as UnmarshalText reads it.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// ParseFile reads a configuration file. Unknown keys are refused.
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
