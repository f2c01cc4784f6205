package config

import (
	"encoding/json"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
)

// File converts the document to a file, with the entries in the order of their names.
func (d Document) File() (f File, err error) {
	for _, c := range d.Entries() {
		if err = f.add(c); err != nil {
			return File{}, eris.Wrapf(err, "config: %s %q", c.Kind, c.Name)
		}
	}
	return f, nil
}

func (f *File) add(c Change) error {
	switch c.Kind {
	case KindAccount:
		return appendEntry(&f.Accounts, c.Body)
	case KindClass:
		return appendEntry(&f.Classes, c.Body)
	case KindPolicy:
		return appendEntry(&f.Policies, c.Body)
	case KindModel:
		return appendEntry(&f.Models, c.Body)
	case KindTarget:
		return appendEntry(&f.Targets, c.Body)
	case KindService:
		return appendEntry(&f.Services, c.Body)
	default:
		return eris.New("unknown kind")
	}
}

func appendEntry[T any](list *[]T, body json.RawMessage) error {
	var entry T
	if err := json.Unmarshal(body, &entry); err != nil {
		return err
	}
	*list = append(*list, entry)
	return nil
}

// TOML encodes the file in the format that ParseFile parses.
func (f File) TOML() (text []byte, err error) {
	text, err = toml.Marshal(f)
	return text, eris.Wrap(err, "config: write file")
}

// Entry returns the JSON of an entry, or nil if it does not exist.
func (d Document) Entry(kind Kind, name string) json.RawMessage {
	return d.entries[entryKey{kind, name}]
}
