// Package api_test checks that boxes of two releases understand each other.
package api_test

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
	"google.golang.org/protobuf/reflect/protoreflect"

	adminv1 "github.com/barleystep/barleystep/api/admin/v1"
	gossipv1 "github.com/barleystep/barleystep/api/gossip/v1"
	peerv1 "github.com/barleystep/barleystep/api/peer/v1"
	placementv1 "github.com/barleystep/barleystep/api/placement/v1"
)

// releasedFields lists the fields, values and calls of earlier releases. Lines are added, never changed.
const releasedFields = "testdata/released.txt"

// TestReleasedFields guards against a message that boxes or tools of an earlier release no longer understand,
// since a field, an enumeration's value or a call has gone or changed.
func TestReleasedFields(t *testing.T) {
	text, err := os.ReadFile(releasedFields)
	quicktest.Assert(t, err, quicktest.IsNil)
	var now []string
	for _, f := range []protoreflect.FileDescriptor{
		adminv1.File_admin_v1_admin_proto, gossipv1.File_gossip_v1_gossip_proto,
		peerv1.File_peer_v1_peer_proto, placementv1.File_placement_v1_placement_proto,
	} {
		now = append(now, enumLines(f.Enums())...)
		now = append(now, messageLines(f.Messages())...)
		now = append(now, callLines(f.Services())...)
	}
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSpace(line)
		quicktest.Check(t, slices.Contains(now, line), quicktest.IsTrue, quicktest.Commentf("%q has gone or changed", line))
	}
}

func messageLines(messages protoreflect.MessageDescriptors) (lines []string) {
	for i := range messages.Len() {
		m := messages.Get(i)
		for j := range m.Fields().Len() {
			f := m.Fields().Get(j)
			lines = append(lines, fmt.Sprintf("%s = %d %s %s", f.FullName(), f.Number(), f.Cardinality(), f.Kind()))
		}
		lines = append(lines, enumLines(m.Enums())...)
		lines = append(lines, messageLines(m.Messages())...)
	}
	return lines
}

func enumLines(enums protoreflect.EnumDescriptors) (lines []string) {
	for i := range enums.Len() {
		values := enums.Get(i).Values()
		for j := range values.Len() {
			lines = append(lines, fmt.Sprintf("%s = %d", values.Get(j).FullName(), values.Get(j).Number()))
		}
	}
	return lines
}

func callLines(services protoreflect.ServiceDescriptors) (lines []string) {
	for i := range services.Len() {
		calls := services.Get(i).Methods()
		for j := range calls.Len() {
			c := calls.Get(j)
			lines = append(lines, fmt.Sprintf("%s(%s) %s", c.FullName(), c.Input().FullName(), c.Output().FullName()))
		}
	}
	return lines
}
