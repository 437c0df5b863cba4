// Package caller makes calls to other nodes that do not fit into datagrams.
//
// # Usage
//
//	c := caller.New("node-1", confirmer, local, config)
//	c.Attach(gossiper)
//	go c.Run(ctx)
//	resp, err := c.Borrow(ctx, "node-7", req)
package caller

import (
	"context"
	"crypto/tls"
	"net/http"
	"time"

	"github.com/juju/errors"

	"quetzalhub/gossiper"
	"quetzalhub/schema"
)

const (
	// pullTimeout bounds a pull of a state or a table.
	pullTimeout = 3 * time.Second
	// pullsWaiting is the number of pulls that may wait.
	pullsWaiting = 4
	// idlePerHost is the number of idle connections kept to one node.
	idlePerHost = 2
	// idleTimeout is the time after which idle connections are closed.
	idleTimeout = 30 * time.Second
)

// Fleet knows the other nodes.
type Fleet interface {
	View() *gossiper.View
	Merge(members []*schema.Member)
	Push()
}

// Confirmer holds the state.
type Confirmer interface {
	Version() uint64
	Apply(raw []byte) (bool, error)
}

// Local answers calls to this node itself.
type Local interface {
	Borrow(ctx context.Context, req *schema.BorrowRequest) (*schema.BorrowResponse, error)
}

// Caller makes calls to other nodes.
type Caller struct {
	name      string
	confirmer Confirmer
	local     Local
	fleet     Fleet
	scheme    string
	client    *http.Client
	// once opens a connection for each call.
	once    *http.Client
	fetches chan string
	syncs   chan string
}

// New returns a caller for the named node. A nil config means calls in clear.
func New(name string, c Confirmer, l Local, config *tls.Config) *Caller {
	pooled := &http.Transport{TLSClientConfig: config, MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: idleTimeout}
	scheme := "http://"
	if config != nil {
		scheme = "https://"
	}
	return &Caller{
		name:      name,
		confirmer: c,
		local:     l,
		scheme:    scheme,
		client:    &http.Client{Transport: pooled},
		once:      &http.Client{Transport: &http.Transport{TLSClientConfig: config, DisableKeepAlives: true}},
		fetches:   make(chan string, pullsWaiting),
		syncs:     make(chan string, pullsWaiting),
	}
}

// Attach sets the fleet. It must be called before Run.
func (c *Caller) Attach(f Fleet) { c.fleet = f }

// Fetch asks Run to fetch the state from an address.
func (c *Caller) Fetch(address string) { offer(c.fetches, address) }

// Sync asks Run to exchange tables with an address.
func (c *Caller) Sync(address string) { offer(c.syncs, address) }

// NotifyPeers lets the other nodes know that this one holds a newer state.
func (c *Caller) NotifyPeers() { c.fleet.Push() }

func offer(queue chan string, address string) {
	select {
	case queue <- address:
	default:
	}
}

// Run makes the pulls asked for until the context ends.
func (c *Caller) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-c.fetches:
			c.fetch(ctx, address)
		case address := <-c.syncs:
			c.sync(ctx, address)
		}
	}
}

func (c *Caller) peer(address string) schema.Peer {
	return schema.NewPeerProtobufClient(c.scheme+address, c.client)
}

func (c *Caller) fetch(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	resp, err := c.peer(address).Fetch(ctx, &schema.FetchRequest{Version: c.confirmer.Version()})
	if err != nil || len(resp.GetState()) == 0 {
		return
	}
	if applied, err := c.confirmer.Apply(resp.GetState()); err == nil && applied {
		c.fleet.Push()
	}
}

func (c *Caller) sync(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var members []*schema.Member
	for _, m := range c.fleet.View().Members {
		members = append(members, m)
	}
	resp, err := c.peer(address).Sync(ctx, &schema.SyncRequest{Members: members})
	if err == nil {
		c.fleet.Merge(resp.GetMembers())
	}
}

// Borrow sends a report to the holder of a shard.
func (c *Caller) Borrow(ctx context.Context, holder string, req *schema.BorrowRequest) (*schema.BorrowResponse, error) {
	if holder == c.name {
		return c.local.Borrow(ctx, req)
	}
	m := c.fleet.View().Members[holder]
	if m == nil || !gossiper.Live(m) {
		return nil, errors.NotFoundf("holder %s", holder)
	}
	return c.peer(m.GetAddress()).Borrow(ctx, req)
}

// Adopt hands the books of a shard to a node.
func (c *Caller) Adopt(ctx context.Context, address string, req *schema.AdoptRequest) error {
	_, err := c.peer(address).Adopt(ctx, req)
	return err
}

// Claim records the use of an idempotency key at a node.
func (c *Caller) Claim(ctx context.Context, address string, req *schema.ClaimRequest) (*schema.ClaimResponse, error) {
	return c.peer(address).Claim(ctx, req)
}

// Settle tells a node how the request of an idempotency key ended.
func (c *Caller) Settle(ctx context.Context, address string, req *schema.SettleRequest) error {
	_, err := c.peer(address).Settle(ctx, req)
	return err
}

// Check asks a node what became of an attempt, over a new connection.
func (c *Caller) Check(ctx context.Context, address string, req *schema.CheckRequest) (schema.Progress, error) {
	resp, err := schema.NewPeerProtobufClient(c.scheme+address, c.once).Check(ctx, req)
	if err != nil {
		return schema.Progress_PROGRESS_UNKNOWN, err
	}
	return resp.GetProgress(), nil
}
