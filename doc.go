// Package barleystep holds the public types and interfaces of the barleystep serving layer.
//
// The types are those that callers, operators and targets share, such as outcomes, attempts and
// refusals. The interfaces stand for everything outside a box: Engine, Service, Table,
// ObjectStore, Catalogue, BoxList, Network and Clock. Implementations live under platform/ and
// internal/, and the programs under cmd/ wire them together.
//
// The package keeps no state and starts no goroutines. All types are safe to copy unless their
// documentation says otherwise.
package barleystep
