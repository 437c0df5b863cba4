package editor_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"quetzalhub/configurer"
	"quetzalhub/confirmer"
	"quetzalhub/editor"
	"quetzalhub/schema"
	"quetzalhub/standin/platform"
	"quetzalhub/storer"
)

// laterReleaseState returns a state as a later release may write it, with unknown fields in
// the state and in a workspace.
func laterReleaseState(g *WithT) []byte {
	workspace, err := proto.Marshal(&schema.Workspace{Name: "gloves", Rate: 1, Burst: 1})
	g.Expect(err).NotTo(HaveOccurred())
	workspace = protowire.AppendTag(workspace, 900, protowire.BytesType)
	workspace = protowire.AppendString(workspace, "of a workspace")
	config := protowire.AppendTag(nil, 2, protowire.BytesType)
	config = protowire.AppendBytes(config, workspace)
	state, err := proto.Marshal(&schema.State{Version: 3})
	g.Expect(err).NotTo(HaveOccurred())
	state = protowire.AppendTag(state, 2, protowire.BytesType)
	state = protowire.AppendBytes(state, config)
	state = protowire.AppendTag(state, 901, protowire.BytesType)
	return protowire.AppendString(state, "of the state")
}

// TestUnknownFieldsArePreserved checks that an edit, and a node that applies the state,
// keep the fields that a later release has added.
func TestUnknownFieldsArePreserved(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(platform.New().Handler())
	defer server.Close()
	store := storer.NewHTTP(strings.TrimPrefix(server.URL, "http://"), time.Second)
	_, err := store.Write(context.Background(), editor.Object, laterReleaseState(g), storer.Absent)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = editor.New(store, "operator").Edit(context.Background(), func(s *schema.State) error {
		return configurer.SetWorkspace(s, "gloves", 2, 2)
	})
	g.Expect(err).NotTo(HaveOccurred())
	object, err := store.Read(context.Background(), editor.Object)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(object.Data)).To(ContainSubstring("of a workspace"))
	g.Expect(string(object.Data)).To(ContainSubstring("of the state"))
	node := confirmer.New("north", time.Second)
	applied, err := node.Apply(object.Data)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(applied).To(BeTrue())
	g.Expect(node.Snapshot().Raw).To(Equal(object.Data), "a node forwards unknown fields")
	applied, err = node.Apply(laterReleaseState(g))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(applied).To(BeFalse(), "an older state is not applied")
}
