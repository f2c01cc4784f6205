package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sort"
	"time"

	"github.com/rotisserie/eris"
)

// The defaults for settings that a file leaves out.
const (
	DefaultTimeLimit   = 10 * time.Minute
	DefaultWeight      = 1.0
	DefaultMaxOutput   = 4096
	DefaultPrefillRate = 8000.0
)

// View is a validated version of the configuration, indexed for lookups. It is
// immutable and safe for concurrent use.
type View struct {
	version      int64
	document     Document
	accounts     map[string]Account
	accountByKey map[string]string
	classes      map[string]Class
	policies     map[string]Policy
	models       map[string]Model
	targets      map[string]Target
	services     map[string]Service
	shares       map[shareKey]Share
}

// NewView validates and indexes the document. The error names the invalid entry.
func NewView(version int64, d Document) (v *View, err error) {
	v = &View{
		version:      version,
		document:     d,
		accounts:     make(map[string]Account),
		accountByKey: make(map[string]string),
		classes:      make(map[string]Class),
		policies:     make(map[string]Policy),
		models:       make(map[string]Model),
		targets:      make(map[string]Target),
		services:     make(map[string]Service),
	}
	for k, body := range d.entries {
		if err = v.decode(k, body); err != nil {
			return nil, eris.Wrapf(err, "config: %s %q", k.kind, k.name)
		}
	}
	if err = v.validate(); err != nil {
		return nil, eris.Wrap(err, "config: check")
	}
	if v.shares, err = evaluateShares(v); err != nil {
		return nil, eris.Wrap(err, "config: evaluate policy")
	}
	return v, nil
}

func (v *View) decode(k entryKey, body json.RawMessage) error {
	switch k.kind {
	case KindAccount:
		return decodeInto(v.accounts, k.name, body)
	case KindClass:
		return decodeInto(v.classes, k.name, body)
	case KindPolicy:
		return decodeInto(v.policies, k.name, body)
	case KindModel:
		return decodeInto(v.models, k.name, body)
	case KindTarget:
		return decodeInto(v.targets, k.name, body)
	case KindService:
		return decodeInto(v.services, k.name, body)
	default:
		return eris.New("unknown kind")
	}
}

func decodeInto[T any](m map[string]T, name string, body json.RawMessage) error {
	if name == "" {
		return eris.New("name is empty")
	}
	var entry T
	if err := json.Unmarshal(body, &entry); err != nil {
		return err
	}
	m[name] = entry
	return nil
}

// Version returns the version number; the first version is 1.
func (v *View) Version() int64 { return v.version }

// Document returns the content of the version.
func (v *View) Document() Document { return v.document }

// AccountOfKey returns the account of a bearer key; ok is false if the key is unknown
// or revoked.
func (v *View) AccountOfKey(key string) (a Account, ok bool) {
	name, ok := v.accountByKey[HashKey(key)]
	if !ok {
		return Account{}, false
	}
	return v.accounts[name], true
}

// HashKey returns the SHA-256 hash of a key in hexadecimal, as it is stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Account returns the account with the name.
func (v *View) Account(name string) (a Account, ok bool) {
	a, ok = v.accounts[name]
	return a, ok
}

// Class returns the class with the name, with the default time limit filled in.
func (v *View) Class(name string) (c Class, ok bool) {
	c, ok = v.classes[name]
	if ok && c.Limit == 0 {
		c.Limit = Duration(DefaultTimeLimit)
	}
	return c, ok
}

// DefaultClass returns the class of requests that name none: the one with the lowest
// priority, and the first by name among equals.
func (v *View) DefaultClass() string {
	name := ""
	for n, c := range v.classes {
		lowest := v.classes[name]
		if name == "" || c.Rank > lowest.Rank || (c.Rank == lowest.Rank && n < name) {
			name = n
		}
	}
	return name
}

// Model returns the model with the name, with its defaults filled in.
func (v *View) Model(name string) (m Model, ok bool) {
	m, ok = v.models[name]
	if m.MaxOutput == 0 {
		m.MaxOutput = DefaultMaxOutput
	}
	if m.PrefillRate == 0 {
		m.PrefillRate = DefaultPrefillRate
	}
	return m, ok
}

// Models returns the names of all models, sorted.
func (v *View) Models() []string { return sortedNames(v.models) }

// Accounts returns the names of all accounts, sorted.
func (v *View) Accounts() []string { return sortedNames(v.accounts) }

// Classes returns the names of all classes, sorted.
func (v *View) Classes() []string { return sortedNames(v.classes) }

// Service returns the service with the name.
func (v *View) Service(name string) (s Service, ok bool) {
	s, ok = v.services[name]
	return s, ok
}

// Target returns the target with the id.
func (v *View) Target(id string) (t Target, ok bool) {
	t, ok = v.targets[id]
	return t, ok
}

// Targets returns the targets for which keep returns true, sorted by id.
func (v *View) Targets(keep func(Target) bool) []Target {
	var list []Target
	for _, id := range sortedNames(v.targets) {
		if t := v.targets[id]; keep(t) {
			list = append(list, t)
		}
	}
	return list
}

func sortedNames[T any](m map[string]T) []string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}
