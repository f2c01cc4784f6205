package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sort"

	"github.com/rotisserie/eris"
)

// Kind is the kind of object that an entry configures.
type Kind string

// The kinds of entries.
const (
	KindAccount Kind = "account"
	KindClass   Kind = "class"
	KindPolicy  Kind = "policy"
	KindModel   Kind = "model"
	KindTarget  Kind = "target"
	KindService Kind = "service"
)

// Change sets or removes one entry. The increment between two versions is a list of
// changes.
type Change struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Body is the entry's JSON; empty removes the entry.
	Body json.RawMessage `json:"body,omitempty"`
}

type entryKey struct {
	kind Kind
	name string
}

// Document is the immutable content of one version of the configuration. The zero
// value is empty.
type Document struct {
	entries map[entryKey]json.RawMessage
}

// Document converts the file to a document. Two entries of the same kind and name are
// an error.
func (f File) Document() (d Document, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "config: build document")
		}
	}()
	b := documentBuilder{entries: make(map[entryKey]json.RawMessage)}
	for _, a := range f.Accounts {
		b.add(KindAccount, a.Name, a)
	}
	for _, c := range f.Classes {
		b.add(KindClass, c.Name, c)
	}
	for _, p := range f.Policies {
		b.add(KindPolicy, p.Name, p)
	}
	for _, m := range f.Models {
		b.add(KindModel, m.Name, m)
	}
	for _, t := range f.Targets {
		b.add(KindTarget, t.ID, t)
	}
	for _, s := range f.Services {
		b.add(KindService, s.Name, s)
	}
	return Document{entries: b.entries}, b.err
}

type documentBuilder struct {
	entries map[entryKey]json.RawMessage
	err     error
}

func (b *documentBuilder) add(kind Kind, name string, entry any) {
	key := entryKey{kind, name}
	if _, ok := b.entries[key]; ok && b.err == nil {
		b.err = eris.Errorf("%s %q is defined twice", kind, name)
	}
	body, err := json.Marshal(entry)
	if err != nil && b.err == nil {
		b.err = err
	}
	b.entries[key] = body
}

// Apply returns a copy of the document with the changes applied.
func (d Document) Apply(changes []Change) Document {
	entries := make(map[entryKey]json.RawMessage, len(d.entries)+len(changes))
	for k, v := range d.entries {
		entries[k] = v
	}
	for _, c := range changes {
		key := entryKey{c.Kind, c.Name}
		if len(c.Body) == 0 {
			delete(entries, key)
			continue
		}
		entries[key] = c.Body
	}
	return Document{entries: entries}
}

// Diff returns the changes that turn d into next, ordered by kind and name.
func (d Document) Diff(next Document) []Change {
	var changes []Change
	for k, body := range next.entries {
		if string(d.entries[k]) != string(body) {
			changes = append(changes, Change{Kind: k.kind, Name: k.name, Body: body})
		}
	}
	for k := range d.entries {
		if _, ok := next.entries[k]; !ok {
			changes = append(changes, Change{Kind: k.kind, Name: k.name})
		}
	}
	sortChanges(changes)
	return changes
}

// Entries returns the whole document as changes to an empty document.
func (d Document) Entries() []Change { return Document{}.Diff(d) }

// Digest returns the SHA-256 hash of the content in hexadecimal. Equal documents have
// equal digests.
func (d Document) Digest() string {
	h := sha256.New()
	enc := json.NewEncoder(h)
	for _, c := range d.Entries() {
		_ = enc.Encode(c) // Writing to a hash never fails, and changes can always be encoded.
	}
	return hex.EncodeToString(h.Sum(nil))
}

func sortChanges(c []Change) {
	sort.Slice(c, func(i, j int) bool {
		if c[i].Kind != c[j].Kind {
			return c[i].Kind < c[j].Kind
		}
		return c[i].Name < c[j].Name
	})
}
