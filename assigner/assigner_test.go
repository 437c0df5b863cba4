package assigner_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/assigner"
	"quetzalhub/gossiper"
	"quetzalhub/limiter"
	"quetzalhub/schema"
	"quetzalhub/util/set"
)

const (
	alive  = schema.Status_STATUS_ALIVE
	left   = schema.Status_STATUS_LEFT
	failed = schema.Status_STATUS_FAILED
)

// fleet provides a member table and a state to the assigner.
type fleet struct {
	members  map[string]*schema.Member
	replaced []gossiper.Instance
	state    *schema.State
	writes   int
}

func (f *fleet) View() *gossiper.View {
	v := gossiper.NewView(f.members)
	v.Replaced = f.replaced
	return v
}

// Edit changes the state in place and counts the writes.
func (f *fleet) Edit(_ context.Context, change func(*schema.State) error) (uint64, error) {
	if err := change(f.state); err != nil {
		return 0, err
	}
	f.writes++
	f.state.Version++
	return f.state.GetVersion(), nil
}

// newAssignedFleet returns three failure domains of four nodes each, with assigned
// shards.
func newAssignedFleet(g *WithT) *fleet {
	f := &fleet{members: map[string]*schema.Member{}, state: &schema.State{Version: 1}}
	for i := range 12 {
		name := fmt.Sprintf("node-%d", i)
		f.members[name] = &schema.Member{Name: name, Domain: string(rune('a' + i%3)), Incarnation: 1, Status: alive}
	}
	g.Expect(f.step(0)).To(Succeed())
	g.Expect(f.state.GetShards()).To(HaveLen(limiter.Shards))
	g.Expect(f.state.GetDomains()).To(ConsistOf("a", "b", "c"))
	return f
}

func (f *fleet) step(position int, lost ...string) error {
	return assigner.New(f, f).Step(context.Background(), f.state, position, set.Of(lost...))
}

// failDomain marks all nodes of a failure domain as failed.
func (f *fleet) failDomain(domain string) {
	for _, m := range f.members {
		if m.GetDomain() == domain {
			m.Status = failed
		}
	}
}

func (f *fleet) fenceCount() int { return len(f.state.GetFences()) }

// heldBy counts the shards of a node.
func (f *fleet) heldBy(name string) int {
	n := 0
	for _, s := range f.state.GetShards() {
		if s.GetHolder() == name {
			n++
		}
	}
	return n
}

// TestDecisions checks that only nodes that are really gone are fenced and lose
// their shards, and that a repeated step writes nothing. A partition must not
// cause a fence: neither of a domain that still writes its heartbeat, nor by a
// host that can't reach the majority of nodes.
func TestDecisions(t *testing.T) {
	holder := func(f *fleet) string { return f.state.GetShards()[0].GetHolder() }
	cases := map[string]struct {
		mutate func(f *fleet)
		lost   []string
		fences int
		// moved is whether the first shard gets a new holder.
		moved bool
	}{
		"no change":                 {func(*fleet) {}, nil, 0, false},
		"holder failed":             {func(f *fleet) { f.members[holder(f)].Status = failed }, nil, 1, true},
		"holder left":               {func(f *fleet) { f.members[holder(f)].Status = left }, nil, 0, true},
		"holder suspect":            {func(f *fleet) { f.members[holder(f)].Status = schema.Status_STATUS_SUSPECT }, nil, 0, false},
		"holder restarted":          {func(f *fleet) { f.members[holder(f)].Incarnation = 2 }, nil, 0, true},
		"restarted without leaving": {func(f *fleet) { f.replaced = []gossiper.Instance{{Name: "node-1", Incarnation: 1}} }, nil, 1, false},
		"domain partitioned":        {func(f *fleet) { f.failDomain(f.members[holder(f)].GetDomain()) }, nil, 0, false},
		"domain lost":               {func(f *fleet) { f.failDomain(f.members[holder(f)].GetDomain()) }, []string{"a", "b", "c"}, 4, true},
		"this host partitioned": {func(f *fleet) {
			for name, m := range f.members {
				if name != "node-0" {
					m.Status = failed
				}
			}
		}, []string{"a", "b", "c"}, 0, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newAssignedFleet(g)
			c.mutate(f)
			g.Expect(f.step(0, c.lost...)).To(Succeed())
			g.Expect(f.fenceCount()).To(Equal(c.fences))
			g.Expect(f.state.GetShards()[0].GetTerm() > 1).To(Equal(c.moved))
			writes := f.writes
			g.Expect(f.step(0, c.lost...)).To(Succeed())
			g.Expect(f.writes).To(Equal(writes), "a second step has nothing to write")
		})
	}
}

// TestWriterDelay checks that a later watcher writes a decision only after the
// delay in which those before it have not written it.
func TestWriterDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newAssignedFleet(g)
		f.members["node-1"].Status = failed
		later := assigner.New(f, f)
		none := set.Of[string]()
		g.Expect(later.Step(context.Background(), f.state, 2, none)).To(Succeed())
		g.Expect(f.fenceCount()).To(Equal(0))
		time.Sleep(7 * time.Second)
		g.Expect(later.Step(context.Background(), f.state, 2, none)).To(Succeed())
		g.Expect(f.fenceCount()).To(Equal(1))
	})
}

// TestUnknownHolder checks that a shard gets a new holder if the member table
// doesn't list its holder, such as a node of an earlier fleet. This must wait
// until the table is complete.
func TestUnknownHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newAssignedFleet(g)
		f.state.Shards[0].Holder = "node-of-an-earlier-fleet"
		a := assigner.New(f, f)
		g.Expect(a.Step(context.Background(), f.state, 0, set.Of[string]())).To(Succeed())
		g.Expect(f.state.GetShards()[0].GetTerm()).To(Equal(uint64(1)), "the member table may still be incomplete")
		time.Sleep(2 * time.Minute)
		g.Expect(a.Step(context.Background(), f.state, 0, set.Of[string]())).To(Succeed())
		g.Expect(f.state.GetShards()[0].GetTerm()).To(Equal(uint64(2)))
	})
}

// TestShardDistribution checks that no node holds more than five shards of a
// fleet of twelve nodes.
func TestShardDistribution(t *testing.T) {
	g := NewWithT(t)
	f := newAssignedFleet(g)
	maxHeld := 0
	for name := range f.members {
		maxHeld = max(maxHeld, f.heldBy(name))
	}
	g.Expect(maxHeld).To(BeNumerically("<=", 5))
}
