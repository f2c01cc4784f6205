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
	"no-address":      withoutField(fieldAddress),
	"no-service":      withoutField(fieldService),
	"no-state":        withoutField(fieldState),
	"address-number":  withField(fieldAddress, 7),
	"service-number":  withField(fieldService, 7),
	"slots-text":      withField(fieldSlots, "many"),
	"state-unknown":   withField(fieldState, "resting"),
	"service-unknown": withField(fieldService, "elsewhere"),
	"bytes":           func(map[string]any) record { return record{Bytes: []byte("\xff{")} },
}

// foreignNames are the names in a fixed order.
var foreignNames = slices.Sorted(maps.Keys(foreignEntries))

// without leaves a field out.
func withoutField(field string) func(map[string]any) record {
	return func(entry map[string]any) record {
		delete(entry, field)
		return record{Value: entry}
	}
}

// with gives a field another value.
func withField(field string, value any) func(map[string]any) record {
	return func(entry map[string]any) record {
		entry[field] = value
		return record{Value: entry}
	}
}
