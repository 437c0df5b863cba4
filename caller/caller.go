// Package caller makes the calls to other nodes that are not gossip: RPC over HTTP, for
// data that is too large for a datagram or needs a response.
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
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"quetzalhub/gossiper"
	"quetzalhub/schema"
	"quetzalhub/util/meter"
	"quetzalhub/verifier"
)

const (
	// pullTimeout bounds one pull of the state or of the member table.
	pullTimeout = 3 * time.Second
	// maxQueuedPulls is the capacity of each queue of pulls; further ones are dropped.
	maxQueuedPulls = 4
	// idlePerHost is the number of idle connections kept to one node.
	idlePerHost = 2
	// idleTimeout is the time after which idle connections are closed.
	idleTimeout = 30 * time.Second
)

// Fleet provides the member table and announces a new state to the other nodes.
type Fleet interface {
	View() *gossiper.View
	Merge(members []*schema.Member)
	Push()
}

// Confirmer provides the version of the state on this node and applies newer states.
type Confirmer interface {
	Version() uint64
	Apply(raw []byte) (bool, error)
}

// Local handles calls that are addressed to this node itself.
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
	// unpooled opens a new connection for each call.
	unpooled *http.Client
	fetches  chan string
	syncs    chan string
	// counter is set by CountBytes.
	counter meter.Counter
}

// New returns a caller for the named node. A nil config means plaintext
// connections.
func New(name string, c Confirmer, l Local, config *tls.Config) *Caller {
	scheme := "http://"
	if config != nil {
		scheme = "https://"
	}
	caller := &Caller{
		name:      name,
		confirmer: c,
		local:     l,
		scheme:    scheme,
		fetches:   make(chan string, maxQueuedPulls),
		syncs:     make(chan string, maxQueuedPulls),
	}
	caller.client = caller.newClient(&http.Transport{TLSClientConfig: config, MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: idleTimeout})
	caller.unpooled = caller.newClient(&http.Transport{TLSClientConfig: config, DisableKeepAlives: true})
	return caller
}

func (c *Caller) newClient(t *http.Transport) *http.Client {
	t.DisableCompression, t.MaxResponseHeaderBytes, t.DialContext = true, MaxHeadBytes, c.dial
	return &http.Client{Transport: boundedTransport{verifier.NewTransport(t)}}
}

func (c *Caller) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil || c.counter == nil {
		return conn, err
	}
	return meter.Wrap(conn, c.counter(address)), nil
}

// CountBytes counts the bytes of connections. It must be called before the first call.
func (c *Caller) CountBytes(counter meter.Counter) { c.counter = counter }

// Attach sets the fleet. It must be called before Run.
func (c *Caller) Attach(f Fleet) { c.fleet = f }

// Fetch queues a fetch of the state from an address. It does not block; if the queue is
// full, the request is dropped.
func (c *Caller) Fetch(address string) { enqueue(c.fetches, address) }

// Sync queues an exchange of member tables with an address. It does not block; if the
// queue is full, the request is dropped.
func (c *Caller) Sync(address string) { enqueue(c.syncs, address) }

// NotifyPeers announces by gossip, without delay, that this node holds a newer state.
func (c *Caller) NotifyPeers() { c.fleet.Push() }

func enqueue(queue chan string, address string) {
	select {
	case queue <- address:
	default:
	}
}

// Run processes the queued pulls until the context ends.
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

// Borrow sends a borrow request to the holder of a shard, or handles it locally if this
// node is the holder.
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

// Adopt transfers the ledger of a shard to a node.
func (c *Caller) Adopt(ctx context.Context, address string, req *schema.AdoptRequest) error {
	_, err := c.peer(address).Adopt(ctx, req)
	return err
}

// Claim records the use of an idempotency key at a node.
func (c *Caller) Claim(ctx context.Context, address string, req *schema.ClaimRequest) (*schema.ClaimResponse, error) {
	return c.peer(address).Claim(ctx, req)
}

// Settle reports to a node the outcome of the request of an idempotency key.
func (c *Caller) Settle(ctx context.Context, address string, req *schema.SettleRequest) error {
	_, err := c.peer(address).Settle(ctx, req)
	return err
}

// Check asks a node for the progress of an attempt, over a new connection.
func (c *Caller) Check(ctx context.Context, address string, req *schema.CheckRequest) (schema.Progress, error) {
	resp, err := schema.NewPeerProtobufClient(c.scheme+address, c.unpooled).Check(ctx, req)
	if err != nil {
		return schema.Progress_PROGRESS_UNKNOWN, err
	}
	return resp.GetProgress(), nil
}
