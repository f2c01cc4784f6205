// Package barleystep is the public face of the barleystep serving layer.
//
// It holds the types that callers, operators and back ends share (outcomes,
// attempts, configuration entries) and the interfaces behind which everything
// outside a box is reached: Engine, Service, Table, ObjectStore, BoxList and
// Clock. Implementations live below internal/ and are wired together by the
// programs under cmd/.
//
// Nothing in this package keeps state or starts goroutines. All types are safe
// to copy unless their comment says otherwise.
package barleystep
