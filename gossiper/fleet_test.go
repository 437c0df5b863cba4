package gossiper_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"quetzalhub/confirmer"
	"quetzalhub/gossiper"
	"quetzalhub/schema"
)

const (
	interval  = 500 * time.Millisecond
	suspicion = 4 * time.Second
	freshness = 5 * time.Second
	latency   = time.Millisecond
)

// network delivers datagrams and pulls between gossipers in one process.
type network struct {
	mu    sync.Mutex
	nodes map[string]*peer
	rng   *rand.Rand
	// loss is the share of datagrams that are dropped.
	loss float64
	// partition holds the partition of each address; only addresses in the same
	// partition reach each other.
	partition map[string]int
	// platformDown makes the platform unreachable for all nodes.
	platformDown bool
	// raw is the encoded state on the platform, and version its version.
	raw     []byte
	version uint64
	// bytes is the number of payload bytes sent.
	bytes int
}

// peer is one node of the fleet.
type peer struct {
	network   *network
	address   string
	domain    string
	gossiper  *gossiper.Gossiper
	confirmer *confirmer.Confirmer
	cancel    context.CancelFunc
	frozen    bool
}

func newNetwork(domains ...string) *network {
	n := &network{nodes: map[string]*peer{}, rng: rand.New(rand.NewPCG(3, 4)), partition: map[string]int{}}
	n.publish(&schema.State{Version: 1, Domains: domains})
	return n
}

// publish replaces the state on the platform.
func (n *network) publish(s *schema.State) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.raw, _ = proto.Marshal(s)
	n.version = s.GetVersion()
}

// start starts a node.
func (n *network) start(t *testing.T, name, domain string, incarnation uint64, join ...string) *peer {
	p := &peer{network: n, address: name, domain: domain, confirmer: confirmer.New(domain, freshness)}
	self := &schema.Member{
		Name: name, Address: name, Domain: domain, Region: "main",
		Incarnation: incarnation, Sequence: 1, Status: schema.Status_STATUS_ALIVE,
	}
	p.gossiper = gossiper.New(self, p, p.confirmer, p, gossiper.Interval(interval), gossiper.Suspicion(suspicion))
	n.mu.Lock()
	n.nodes[name] = p
	n.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	t.Cleanup(cancel)
	go p.gossiper.Run(ctx)
	go p.watch(ctx)
	p.gossiper.Join(join)
	return p
}

// watch applies and confirms the platform's state once a second while this node
// is a watcher.
func (p *peer) watch(ctx context.Context) {
	for ctx.Err() == nil {
		sent := time.Now()
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Second):
		}
		p.network.mu.Lock()
		raw, version, platformDown, frozen := p.network.raw, p.network.version, p.network.platformDown, p.frozen
		p.network.mu.Unlock()
		if _, watches := p.gossiper.View().WatcherIndex(p.address); !watches || platformDown || frozen {
			continue
		}
		if applied, _ := p.confirmer.Apply(raw); applied {
			p.gossiper.Push()
		}
		p.confirmer.Confirm(version, sent)
	}
}

// Send delivers a datagram after the network latency, unless it is lost.
func (p *peer) Send(address string, datagram []byte) {
	n := p.network
	n.mu.Lock()
	n.bytes += len(datagram)
	to := n.nodes[address]
	lost := n.rng.Float64() < n.loss || n.partition[p.address] != n.partition[address] || p.frozen
	n.mu.Unlock()
	if to == nil || lost {
		return
	}
	time.AfterFunc(latency, func() {
		n.mu.Lock()
		frozen := to.frozen
		n.mu.Unlock()
		if !frozen {
			to.gossiper.Receive(datagram)
		}
	})
}

// reachable returns the node at an address, or nil if it is unreachable.
func (p *peer) reachable(address string) *peer {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	to := p.network.nodes[address]
	if to == nil || to.frozen || p.frozen || p.network.partition[p.address] != p.network.partition[address] {
		return nil
	}
	return to
}

// Fetch applies the state of a node.
func (p *peer) Fetch(address string) {
	time.AfterFunc(2*latency, func() {
		to := p.reachable(address)
		if to == nil || to.confirmer.Snapshot() == nil {
			return
		}
		if applied, _ := p.confirmer.Apply(to.confirmer.Snapshot().Raw); applied {
			p.gossiper.Push()
		}
	})
}

// Sync exchanges full tables with a node.
func (p *peer) Sync(address string) {
	time.AfterFunc(2*latency, func() {
		if to := p.reachable(address); to != nil {
			p.gossiper.Merge(membersOf(to.gossiper.View()))
			to.gossiper.Merge(membersOf(p.gossiper.View()))
		}
	})
}

func membersOf(v *gossiper.View) []*schema.Member {
	var members []*schema.Member
	for _, m := range v.Members {
		members = append(members, m)
	}
	return members
}

// startFleet starts count nodes, spread over failure domains a, b, c, …
func (n *network) startFleet(t *testing.T, count, domains int) []*peer {
	var peers []*peer
	for i := range count {
		domain := string(rune('a' + i%domains))
		peers = append(peers, n.start(t, fmt.Sprintf("node-%03d", i), domain, 1, "node-000"))
	}
	return peers
}

// withLock runs action while holding the network's lock.
func (n *network) withLock(action func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	action()
}

// statusOf returns the status of the named node in the view of this one.
func (p *peer) statusOf(name string) schema.Status {
	return p.gossiper.View().Members[name].GetStatus()
}
