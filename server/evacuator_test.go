package server

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"quetzalhub/configurer"
	"quetzalhub/confirmer"
	"quetzalhub/schema"
)

// TestEvacuationByConfiguration guards against an evacuation that an operator has asked for
// and nodes don't carry out, that a node forgets when it starts, or that does not end.
func TestEvacuationByConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		settings := &schema.Settings{Node: &schema.NodeSettings{Domain: "hall"}}
		state := &schema.State{}
		c := confirmer.New("hall", time.Minute)
		e := newEvacuator(settings, c)
		g.Expect(e.Accepts()).To(BeFalse(), "no configuration yet")
		apply := func(to *confirmer.Confirmer, edit func(*schema.State, string) error) {
			g.Expect(edit(state, "hall")).To(Succeed())
			state.Version++
			raw, err := proto.Marshal(state)
			g.Expect(err).NotTo(HaveOccurred())
			applied, err := to.Apply(raw)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(applied).To(BeTrue())
		}
		apply(c, func(*schema.State, string) error { return nil })
		g.Expect(e.Accepts()).To(BeTrue())

		apply(c, configurer.Evacuate)
		g.Expect(configurer.Evacuate(state, "hall")).NotTo(Succeed())
		g.Expect(e.Weight("hall")).To(Equal(1.0), "load moves gradually")
		time.Sleep(defaultEvacuation)
		g.Expect(e.Accepts()).To(BeFalse())
		g.Expect(e.Weight("hall")).To(BeZero())

		started := confirmer.New("hall", time.Minute)
		restarted := newEvacuator(settings, started)
		apply(started, func(*schema.State, string) error { return nil })
		g.Expect(restarted.Accepts()).To(BeFalse(), "a node that has just started")

		apply(c, configurer.Return)
		g.Expect(configurer.Return(state, "hall")).NotTo(Succeed())
		g.Expect(e.Accepts()).To(BeTrue())
		time.Sleep(defaultEvacuation)
		g.Expect(e.Weight("hall")).To(Equal(1.0))
	})
}
