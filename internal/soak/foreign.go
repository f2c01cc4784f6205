package soak

import (
	"maps"
	"slices"
	"time"
)

// Names of the store's table of targets, of the fields of its records and of a state.
const (
	tableTargets = "servers"
	fieldService = "service"
	fieldAddress = "address"
	fieldSlots   = "slots"
	fieldState   = "state"
	stateReady   = "ready"
)

// foreignTime is the minimum time for which another writer's record stays in place. Boxes have
// foreignBound to read it, and their behaviour after that must be observable.
const foreignTime = foreignBound + 5*time.Second

// foreignEntries are the ways in which another writer corrupts a target's record, by name.
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

// foreignNames lists the names in a fixed order, which the schedule draws from.
var foreignNames = slices.Sorted(maps.Keys(foreignEntries))

// withoutField removes a field.
func withoutField(field string) func(map[string]any) record {
	return func(entry map[string]any) record {
		delete(entry, field)
		return record{Value: entry}
	}
}

// withField replaces the value of a field.
func withField(field string, value any) func(map[string]any) record {
	return func(entry map[string]any) record {
		entry[field] = value
		return record{Value: entry}
	}
}
