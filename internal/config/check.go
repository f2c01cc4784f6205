package config

import (
	"net/url"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// validate checks the entries and the references between them, and indexes the
// accounts by key.
func (v *View) validate() error {
	if len(v.classes) == 0 {
		return eris.New("there is no class")
	}
	for _, name := range sortedNames(v.accounts) {
		if err := v.validateAccount(v.accounts[name]); err != nil {
			return eris.Wrapf(err, "account %q", name)
		}
	}
	for _, name := range sortedNames(v.models) {
		if err := validateModel(v.models[name]); err != nil {
			return eris.Wrapf(err, "model %q", name)
		}
	}
	for _, id := range sortedNames(v.targets) {
		if err := v.validateTarget(v.targets[id]); err != nil {
			return eris.Wrapf(err, "target %q", id)
		}
	}
	return nil
}

func (v *View) validateAccount(a Account) error {
	if a.Weight < 0 || a.Rate < 0 {
		return eris.New("weight and rate must not be negative")
	}
	for _, c := range a.Classes {
		if _, ok := v.classes[c]; !ok {
			return eris.Errorf("class %q does not exist", c)
		}
	}
	for _, k := range a.Keys {
		if len(k.SHA256) != len(HashKey("")) {
			return eris.Errorf("key %q: sha256 must have %d digits", k.ID, len(HashKey("")))
		}
		if k.Revoked {
			continue
		}
		if other, ok := v.accountByKey[k.SHA256]; ok {
			return eris.Errorf("key %q is also a key of account %q", k.ID, other)
		}
		v.accountByKey[k.SHA256] = a.Name
	}
	return nil
}

func validateModel(m Model) error {
	if strings.Contains(m.Name, ":") {
		return eris.New("the name must not contain a colon")
	}
	if m.EngineTokens <= 0 {
		return eris.Errorf("engine_tokens is %d; it must be above 0", m.EngineTokens)
	}
	if m.MaxPrompt <= 0 {
		return eris.Errorf("max_prompt is %d; it must be above 0", m.MaxPrompt)
	}
	return nil
}

func (v *View) validateTarget(t Target) error {
	if (t.Model == "") == (t.Service == "") {
		return eris.New("exactly one of model and service must be set")
	}
	if _, ok := v.models[t.Model]; t.Model != "" && !ok {
		return eris.Errorf("model %q does not exist", t.Model)
	}
	if _, ok := v.services[t.Service]; t.Service != "" && !ok {
		return eris.Errorf("service %q does not exist", t.Service)
	}
	if t.Hall == "" {
		return eris.New("hall is empty")
	}
	u, err := url.Parse(t.URL)
	if err != nil || !slices.Contains([]string{"http", "https"}, u.Scheme) || u.Host == "" {
		return eris.Errorf("url is %q; it must be http://host:port or https://host:port", t.URL)
	}
	return nil
}
