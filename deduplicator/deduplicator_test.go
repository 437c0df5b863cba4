package deduplicator_test

import (
	"encoding/hex"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"quetzalhub/deduplicator"
	"quetzalhub/gossiper"
	"quetzalhub/resolver"
	"quetzalhub/schema"
)

// fleet is a set of nodes with a common member table and state.
type fleet struct {
	members map[string]*schema.Member
	view    *gossiper.View
	state   *schema.State
	nodes   map[string]*node
}

// node is a node with its deduplicator. It implements Directory and State.
type node struct {
	fleet       *fleet
	name        string
	incarnation uint64
	keys        *deduplicator.Deduplicator
	stale       bool
}

func (n *node) Identity() (string, uint64) { return n.name, n.incarnation }
func (n *node) View() *gossiper.View       { return n.fleet.view }
func (n *node) Fresh() bool                { return !n.stale }

func (n *node) Snapshot() *resolver.Snapshot {
	raw, _ := proto.Marshal(n.fleet.state)
	s, _ := resolver.Compile(raw)
	return s
}

func newFleet(count int) *fleet {
	f := &fleet{members: map[string]*schema.Member{}, state: &schema.State{Version: 1}, nodes: map[string]*node{}}
	for i := range count {
		f.start(fmt.Sprintf("node-%d", i), 1)
	}
	f.refreshOwners()
	return f
}

func (f *fleet) start(name string, incarnation uint64) {
	f.set(name, incarnation, schema.Status_STATUS_ALIVE)
	n := &node{fleet: f, name: name, incarnation: incarnation}
	n.keys = deduplicator.New(n, n)
	f.nodes[name] = n
}

func (f *fleet) set(name string, incarnation uint64, s schema.Status) {
	f.members[name] = &schema.Member{Name: name, Incarnation: incarnation, Status: s}
	copied := map[string]*schema.Member{}
	for k, v := range f.members {
		copied[k] = v
	}
	f.view = gossiper.NewView(copied)
}

// refreshOwners makes all nodes apply the current member table.
func (f *fleet) refreshOwners() {
	for _, n := range f.nodes {
		n.keys.Owner("gloves", "any")
	}
}

// claim sends a claim for a key from a node to the owner that it sees.
func (f *fleet) claim(from, key, digest string) schema.Standing {
	owner, _ := f.nodes[from].keys.Owner("gloves", key)
	n := f.nodes[owner.GetName()]
	if n == nil || owner.GetStatus() == schema.Status_STATUS_FAILED {
		return schema.Standing_STANDING_UNKNOWN
	}
	req := &schema.ClaimRequest{Workspace: "gloves", Key: key, Digest: []byte(digest), Left: durationpb.New(5 * time.Second)}
	return n.keys.Claim(req).GetStanding()
}

func (f *fleet) settle(from, key string, outcome schema.Outcome) {
	owner, _ := f.nodes[from].keys.Owner("gloves", key)
	f.nodes[owner.GetName()].keys.Settle(&schema.SettleRequest{
		Workspace: "gloves", Key: key, Outcome: outcome, Answer: &schema.StoredAnswer{Status: 200},
	})
}

// uuid returns a UUID of version 7 with the current time.
func uuid(n int) string {
	ms := uint64(time.Now().UnixMilli())
	b := []byte{
		byte(ms >> 40), byte(ms >> 32), byte(ms >> 24), byte(ms >> 16), byte(ms >> 8), byte(ms),
		0x70, 0, 0x80, 0, 0, 0, 0, 0, byte(n >> 8), byte(n),
	}
	return hex.EncodeToString(b)
}

const (
	granted  = schema.Standing_STANDING_GRANTED
	pending  = schema.Standing_STANDING_PENDING
	answered = schema.Standing_STANDING_ANSWERED
	unknown  = schema.Standing_STANDING_UNKNOWN
	mismatch = schema.Standing_STANDING_MISMATCH
)

func TestStandings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(5)
		time.Sleep(time.Minute)
		key := uuid(1)
		g.Expect(f.claim("node-1", key, "a")).To(Equal(granted))
		g.Expect(f.claim("node-2", key, "a")).To(Equal(pending))
		g.Expect(f.claim("node-2", key, "b")).To(Equal(mismatch))
		f.settle("node-1", key, schema.Outcome_OUTCOME_ANSWERED)
		g.Expect(f.claim("node-3", key, "a")).To(Equal(answered))
		refused := uuid(2)
		g.Expect(f.claim("node-1", refused, "a")).To(Equal(granted))
		f.settle("node-1", refused, schema.Outcome_OUTCOME_NOT_RUN)
		g.Expect(f.claim("node-1", refused, "a")).To(Equal(granted), "a key should be released if its request did not run")
		lost := uuid(3)
		g.Expect(f.claim("node-1", lost, "a")).To(Equal(granted))
		time.Sleep(20 * time.Second)
		g.Expect(f.claim("node-1", lost, "a")).To(Equal(unknown))
	})
}

// TestNewOwnersNeverGrantUsedKeys guards against repeated requests that run twice
// because the owner of their key changed after the first use.
func TestNewOwnersNeverGrantUsedKeys(t *testing.T) {
	cases := map[string]func(f *fleet, owner string){
		"restarted":   func(f *fleet, owner string) { f.start(owner, 2) },
		"left":        func(f *fleet, owner string) { f.set(owner, 1, schema.Status_STATUS_LEFT) },
		"failed":      func(f *fleet, owner string) { f.set(owner, 1, schema.Status_STATUS_FAILED) },
		"new nodes":   func(f *fleet, _ string) { f.start("node-7", 1); f.start("node-8", 1) },
		"partitioned": func(f *fleet, owner string) { f.nodes[owner].stale = true },
		"failed and fenced": func(f *fleet, owner string) {
			f.set(owner, 1, schema.Status_STATUS_FAILED)
			f.state = &schema.State{Version: 2, Fences: []*schema.Fence{{Name: owner, Incarnation: 1}}}
		},
	}
	for name, replace := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				for i := range 20 {
					f := newFleet(5)
					time.Sleep(time.Minute)
					key := uuid(i)
					owner, _ := f.nodes["node-0"].keys.Owner("gloves", key)
					if owner.GetName() == "node-0" {
						continue
					}
					g.Expect(f.claim("node-0", key, "a")).To(Equal(granted))
					replace(f, owner.GetName())
					f.refreshOwners()
					for range 12 {
						g.Expect(f.claim("node-0", key, "a")).NotTo(Equal(granted))
						time.Sleep(5 * time.Second)
					}
				}
			})
		})
	}
}

// TestNewKeysAfterRestart checks that an owner grants only keys that were created
// after it took over, plus the handover period.
func TestNewKeysAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(1)
		g.Expect(f.claim("node-0", uuid(1), "a")).To(Equal(unknown), "the owner has just started")
		g.Expect(f.claim("node-0", "opaque", "a")).To(Equal(unknown))
		time.Sleep(15 * time.Second)
		g.Expect(f.claim("node-0", uuid(2), "a")).To(Equal(granted))
		g.Expect(f.claim("node-0", "opaque", "a")).To(Equal(unknown))
		time.Sleep(2 * time.Minute)
		g.Expect(f.claim("node-0", "opaque", "a")).To(Equal(granted))
	})
}
