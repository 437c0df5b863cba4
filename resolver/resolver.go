// Package resolver compiles the state of the fleet into an immutable snapshot
// that traffic reads without locks.
//
// # Usage
//
//	snapshot, err := resolver.Compile(raw)
//	grant, ok := snapshot.Key(secret)
//	route, ok := snapshot.Route("GET", "/sizes/7")
//
// The cost of both look-ups does not depend on the number of workspaces, keys
// or routes: a key is found by its digest, a route by the prefixes of its path.
package resolver

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"quetzalhub/schema"
)

// fingerprintLength is the number of hexadecimal digits that name a key.
const fingerprintLength = 12

// Digest is the SHA-256 of a key's secret.
type Digest [sha256.Size]byte

// Grant is what a key stands for.
type Grant struct {
	Workspace string
	Withdrawn bool
}

// Route is a compiled route.
type Route struct {
	Prefix     string
	Methods    []string
	Service    string
	Class      schema.Class
	Idempotent bool
	Open       bool
	// Timeout is zero if the node's default applies.
	Timeout time.Duration
}

// Limit is the rate and burst of a workspace over the whole fleet.
type Limit struct {
	// Rate is in requests per second.
	Rate float64
	// Burst is in requests.
	Burst float64
}

// Snapshot is a compiled state.
type Snapshot struct {
	// State must not be changed.
	State *schema.State
	// Raw is the state as read from the platform, unknown fields included.
	Raw    []byte
	keys   map[Digest]Grant
	routes map[string][]*Route
	limits map[string]Limit
	shards map[uint32]*schema.Shard
}

// Compile decodes and checks a state.
func Compile(raw []byte) (*Snapshot, error) {
	state := &schema.State{}
	if err := proto.Unmarshal(raw, state); err != nil {
		return nil, errors.Annotate(err, "decoding state")
	}
	s := &Snapshot{
		State:  state,
		Raw:    raw,
		keys:   map[Digest]Grant{},
		routes: map[string][]*Route{},
		limits: map[string]Limit{},
		shards: map[uint32]*schema.Shard{},
	}
	for _, w := range state.GetConfig().GetWorkspaces() {
		s.addWorkspace(w)
	}
	for _, r := range state.GetConfig().GetRoutes() {
		s.addRoute(r)
	}
	for _, shard := range state.GetShards() {
		s.shards[shard.GetIndex()] = shard
	}
	return s, nil
}

func (s *Snapshot) addWorkspace(w *schema.Workspace) {
	s.limits[w.GetName()] = Limit{Rate: w.GetRate(), Burst: w.GetBurst()}
	for _, k := range w.GetKeys() {
		if len(k.GetDigest()) != sha256.Size {
			continue
		}
		s.keys[Digest(k.GetDigest())] = Grant{Workspace: w.GetName(), Withdrawn: k.GetWithdrawn() != nil}
	}
}

func (s *Snapshot) addRoute(r *schema.Route) {
	prefix := cleanPrefix(r.GetPrefix())
	s.routes[prefix] = append(s.routes[prefix], &Route{
		Prefix:     prefix,
		Methods:    r.GetMethods(),
		Service:    r.GetService(),
		Class:      r.GetClass(),
		Idempotent: r.GetIdempotent(),
		Open:       r.GetOpen(),
		Timeout:    r.GetTimeout().AsDuration(),
	})
}

// Version returns the version of the state.
func (s *Snapshot) Version() uint64 { return s.State.GetVersion() }

// Key returns what a secret stands for.
func (s *Snapshot) Key(secret string) (Grant, bool) {
	g, ok := s.keys[DigestOf(secret)]
	return g, ok
}

// Limit returns the rate and burst of a workspace.
func (s *Snapshot) Limit(workspace string) (Limit, bool) {
	l, ok := s.limits[workspace]
	return l, ok
}

// Shard returns a shard by its index.
func (s *Snapshot) Shard(index uint32) (*schema.Shard, bool) {
	shard, ok := s.shards[index]
	return shard, ok
}

// Fenced tells whether an incarnation of a node lost its loans.
func (s *Snapshot) Fenced(name string, incarnation uint64) bool {
	return slices.ContainsFunc(s.State.GetFences(), func(f *schema.Fence) bool {
		return f.GetName() == name && f.GetIncarnation() == incarnation
	})
}

// Route returns the route with the longest prefix that matches.
func (s *Snapshot) Route(method, path string) (*Route, bool) {
	prefix := cleanPrefix(path)
	for {
		for _, r := range s.routes[prefix] {
			if len(r.Methods) == 0 || slices.Contains(r.Methods, method) {
				return r, true
			}
		}
		if prefix == "/" {
			return nil, false
		}
		prefix = cleanPrefix(prefix[:strings.LastIndexByte(prefix, '/')])
	}
}

func cleanPrefix(p string) string {
	p = strings.TrimRight(p, "/")
	if p == "" {
		return "/"
	}
	return p
}

// DigestOf returns the digest of a key's secret.
func DigestOf(secret string) Digest {
	return sha256.Sum256([]byte(secret))
}

// Fingerprint returns the name of a key shown to operators.
func Fingerprint(digest []byte) string {
	text := hex.EncodeToString(digest)
	return text[:min(len(text), fingerprintLength)]
}
