package planner_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"quetzalhub/configurer"
	"quetzalhub/parser"
	"quetzalhub/planner"
	"quetzalhub/schema"
)

func state(t *testing.T) *schema.State {
	g := NewWithT(t)
	s := &schema.State{}
	g.Expect(configurer.SetWorkspace(s, "gloves", 10, 20)).To(Succeed())
	g.Expect(configurer.SetWorkspace(s, "planes", 30, 40)).To(Succeed())
	return s
}

func sheet(t *testing.T, text string) []parser.Row {
	rows, err := parser.Parse([]byte(text))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return rows
}

// TestSheetKeepsRegions guards against a sheet that lifts the bound of a workspace, or a route
// that is set without one of its regions.
func TestSheetKeepsRegions(t *testing.T) {
	g := NewWithT(t)
	s := state(t)
	g.Expect(configurer.SetRegions(s, "gloves", []string{"south", "north"})).To(Succeed())
	g.Expect(configurer.SetRegions(s, "gloves", []string{"not a name"})).NotTo(Succeed())
	g.Expect(configurer.SetRegions(s, "hats", nil)).NotTo(Succeed())
	rows := sheet(t, "workspace,rate,burst\ngloves,11,20\nplanes,30,40\n")
	g.Expect(planner.Apply(s, rows, planner.Conditions{Config: s.GetConfig().GetVersion()})).To(Succeed())
	w, err := configurer.Workspace(s, "gloves")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.GetRate()).To(Equal(11.0))
	g.Expect(w.GetRegions()).To(Equal([]string{"south", "north"}))
	g.Expect(configurer.SetRoute(s, configurer.Route{Prefix: "/orders", Service: "orders", Class: "normal", Regions: []string{"south"}})).To(Succeed())
	g.Expect(s.GetConfig().GetRoutes()[0].GetRegions()).To(Equal([]string{"south"}))
}

func TestPlanThenApply(t *testing.T) {
	g := NewWithT(t)
	s := state(t)
	rows := sheet(t, "workspace,rate,burst\ngloves,11,20\nnew,1,2\n")
	plan := planner.Compare(s, rows)
	g.Expect(plan.Differences).To(HaveLen(3))
	g.Expect(plan.Removals()).To(Equal(1))
	g.Expect(planner.Apply(s, rows, planner.Conditions{Config: plan.Config, Removals: 1})).To(Succeed())
	g.Expect(planner.Compare(s, rows).Differences).To(BeEmpty())
}

// TestRejectedSheetChangesNothing checks that a sheet whose conditions do not hold
// leaves the state as it was.
func TestRejectedSheetChangesNothing(t *testing.T) {
	cases := map[string]planner.Conditions{
		"other version":       {Config: 1, Removals: 1},
		"unexpected removals": {Config: 2, Removals: 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := state(t)
			before := proto.CloneOf(s)
			rows := sheet(t, "workspace,rate,burst\ngloves,11,20\n")
			g.Expect(planner.Apply(s, rows, c)).NotTo(Succeed())
			g.Expect(proto.Equal(s, before)).To(BeTrue())
		})
	}
}

// TestWithdrawnKeyStaysWithdrawn checks that applying a sheet does not restore a
// withdrawn key.
func TestWithdrawnKeyStaysWithdrawn(t *testing.T) {
	g := NewWithT(t)
	s := state(t)
	fingerprint, err := configurer.AddKey(s, "gloves", configurer.NewSecret())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(configurer.WithdrawKey(s, fingerprint)).To(Succeed())
	rows := sheet(t, "workspace,rate,burst\ngloves,11,20\nplanes,30,40\n")
	g.Expect(planner.Apply(s, rows, planner.Conditions{Config: s.GetConfig().GetVersion()})).To(Succeed())
	w, err := configurer.Workspace(s, "gloves")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.GetKeys()[0].GetWithdrawn()).NotTo(BeNil())
}
