package soak

import (
	"maps"
	"slices"
	"time"
)

// Names of the store's table of targets, of fields of their entries and of a state.
const (
	tableTargets = "servers"
	fieldService = "service"
	fieldAddress = "address"
	fieldSlots   = "slots"
	fieldState   = "state"
	stateReady   = "ready"
)

// foreignTime is how long another writer's entry stands at the least: boxes have
// foreignBound to learn of it, and what they do after that is to be seen.
const foreignTime = foreignBound + 5*time.Second

// foreignEntries are the ways in which another writer spoils a target's entry, by name.
var foreignEntries = map[string]func(entry map[string]any) record{
	"no-address":      without(fieldAddress),
	"no-service":      without(fieldService),
	"no-state":        without(fieldState),
	"address-number":  with(fieldAddress, 7),
	"service-number":  with(fieldService, 7),
	"slots-text":      with(fieldSlots, "many"),
	"state-unknown":   with(fieldState, "resting"),
	"service-unknown": with(fieldService, "elsewhere"),
	"bytes":           func(map[string]any) record { return record{Bytes: []byte("\xff{")} },
}

// foreignNames are the names in a fixed order.
var foreignNames = slices.Sorted(maps.Keys(foreignEntries))

// without leaves a field out.
func without(field string) func(map[string]any) record {
	return func(entry map[string]any) record {
		delete(entry, field)
		return record{Value: entry}
	}
}

// with gives a field another value.
func with(field string, value any) func(map[string]any) record {
	return func(entry map[string]any) record {
		entry[field] = value
		return record{Value: entry}
	}
}
