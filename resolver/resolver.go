// Package resolver compiles the state of the fleet into a snapshot that requests
// read without locks.
//
// # Usage
//
//	snapshot, err := resolver.Compile(raw)
//	key, ok := snapshot.Key(secret)
//	route, ok := snapshot.Route("gloves.example", "GET", "/sizes/7")
//
// The cost of a lookup does not depend on the number of workspaces, keys or
// routes: keys are indexed by digest and routes by path prefix.
package resolver

import (
	"crypto/sha256"
	"encoding/hex"
	"math/bits"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"quetzalhub/schema"
)

// fingerprintDigits is the length of a key's fingerprint in hexadecimal digits.
const fingerprintDigits = 12

// Digest is the SHA-256 of a key's secret.
type Digest [sha256.Size]byte

// KeyInfo describes an API key.
type KeyInfo struct {
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
	// AllowAnonymous is true if requests without a key are accepted.
	AllowAnonymous bool
	// Timeout is zero if the node's default applies.
	Timeout time.Duration
	// Name appears in logs; it may be empty.
	Name string
	// Host is empty if the route applies to all hosts.
	Host string
	// Split replaces Service if requests are split by weight.
	Split []WeightedService
	// Attempts limits the upstreams tried for one request, the first included;
	// zero if not set.
	Attempts uint32
	// TargetLatency is the time within which a response is worth most to the caller;
	// zero if not set.
	TargetLatency time.Duration
	// Regions are those in which requests may run; empty for all.
	Regions []string

	totalWeight uint32
	selections  atomic.Uint64
}

// WeightedService is a service that receives a weighted share of a route's
// requests.
type WeightedService struct {
	Service string
	Weight  uint32
}

// goldenRatioFraction is the fractional part of the golden ratio in units of
// 2^-64. Its multiples modulo 1 are evenly distributed, so each service gets its
// share even within a few consecutive requests.
const goldenRatioFraction = 0x9E3779B97F4A7C15

// NextService selects the service for the next request, by weight.
func (r *Route) NextService() string {
	if r.totalWeight == 0 {
		return r.Service
	}
	point, _ := bits.Mul64(r.selections.Add(1)*goldenRatioFraction, uint64(r.totalWeight))
	for _, p := range r.Split {
		if point < uint64(p.Weight) {
			return p.Service
		}
		point -= uint64(p.Weight)
	}
	return r.Split[len(r.Split)-1].Service
}

// Services returns all services that can receive requests of the route.
func (r *Route) Services() []string {
	if r.totalWeight == 0 {
		return []string{r.Service}
	}
	var names []string
	for _, p := range r.Split {
		if p.Weight > 0 {
			names = append(names, p.Service)
		}
	}
	return names
}

// Limit is the rate limit and priority of a workspace across the whole fleet.
type Limit struct {
	// Rate is in requests per second.
	Rate float64
	// Burst is in requests.
	Burst float64
	// Priority is the priority of the workspace; zero is the highest.
	Priority uint32
	// HasPriority is true if the workspace has a priority.
	HasPriority bool
}

// HasRate reports whether the workspace has a rate limit.
func (l Limit) HasRate() bool { return l.Rate > 0 }

// Snapshot is an immutable compiled state.
type Snapshot struct {
	// State must not be changed.
	State *schema.State
	// Raw is the encoded state as it was read, including unknown fields.
	Raw  []byte
	keys map[Digest]KeyInfo
	// routes maps hosts to their routes by prefix. The empty host holds the
	// routes that apply to all hosts.
	routes map[string]map[string][]*Route
	limits map[string]Limit
	// regions holds those of each workspace; empty for all.
	regions map[string][]string
	// anyPriority is true if any workspace has a priority.
	anyPriority bool
	// anyRegions is true if any route or workspace has regions.
	anyRegions bool
	shards     map[uint32]*schema.Shard
}

// Compile decodes a state and builds the lookup tables. Keys whose digest has
// a wrong length are skipped.
func Compile(raw []byte) (*Snapshot, error) {
	state := &schema.State{}
	if err := proto.Unmarshal(raw, state); err != nil {
		return nil, errors.Annotate(err, "decoding state")
	}
	s := &Snapshot{
		State:   state,
		Raw:     raw,
		keys:    map[Digest]KeyInfo{},
		routes:  map[string]map[string][]*Route{},
		limits:  map[string]Limit{},
		regions: map[string][]string{},
		shards:  map[uint32]*schema.Shard{},
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
	s.limits[w.GetName()] = Limit{Rate: w.GetRate(), Burst: w.GetBurst(), Priority: w.GetPriority(), HasPriority: w.Priority != nil}
	s.regions[w.GetName()] = w.GetRegions()
	s.anyRegions = s.anyRegions || len(w.GetRegions()) > 0
	s.anyPriority = s.anyPriority || w.Priority != nil
	for _, k := range w.GetKeys() {
		if len(k.GetDigest()) != sha256.Size {
			continue
		}
		s.keys[Digest(k.GetDigest())] = KeyInfo{Workspace: w.GetName(), Withdrawn: k.GetWithdrawn() != nil}
	}
}

func (s *Snapshot) addRoute(r *schema.Route) {
	prefix := cleanPrefix(r.GetPrefix())
	routes := s.routes[r.GetHost()]
	if routes == nil {
		routes = map[string][]*Route{}
		s.routes[r.GetHost()] = routes
	}
	route := &Route{
		Prefix:         prefix,
		Methods:        r.GetMethods(),
		Service:        r.GetService(),
		Class:          r.GetClass(),
		Idempotent:     r.GetIdempotent(),
		AllowAnonymous: r.GetOpen(),
		Timeout:        r.GetTimeout().AsDuration(),
		Name:           r.GetName(),
		Host:           r.GetHost(),
		Attempts:       r.GetAttempts(),
		TargetLatency:  r.GetObjective().AsDuration(),
		Regions:        r.GetRegions(),
	}
	s.anyRegions = s.anyRegions || len(route.Regions) > 0
	for _, p := range r.GetParts() {
		route.Split = append(route.Split, WeightedService{p.GetService(), p.GetWeight()})
		route.totalWeight += p.GetWeight()
	}
	routes[prefix] = append(routes[prefix], route)
}

// priorityLevels is the number of distinct priorities of workspaces, and of
// routes. Higher numbers count as the lowest priority.
const priorityLevels = 4

// ClassOf returns the class of a priority, where zero is the highest.
func ClassOf(priority uint32) schema.Class {
	return schema.Class(priorityLevels - min(priority, priorityLevels-1))
}

// Class returns the class of a request. If any workspace has a priority, requests
// are ordered by the priority of their workspace first and by the class of the
// route second. Without priorities, and for a workspace that has none, the class
// is that of the route.
func (s *Snapshot) Class(r *Route, workspace string) schema.Class {
	limit, ok := s.limits[workspace]
	if !s.anyPriority || ok && !limit.HasPriority {
		return r.Class
	}
	// Requests without a workspace are calls of upstreams or trial requests.
	// They get the highest level.
	workspaceLevel := uint32(priorityLevels - 1)
	if ok {
		workspaceLevel -= min(limit.Priority, priorityLevels-1)
	}
	return schema.Class(workspaceLevel*priorityLevels+uint32(r.Class)) - 1
}

// Version returns the version of the state.
func (s *Snapshot) Version() uint64 { return s.State.GetVersion() }

// Key returns the key with the given secret.
func (s *Snapshot) Key(secret string) (KeyInfo, bool) {
	key, ok := s.keys[DigestOf(secret)]
	return key, ok
}

// Limit returns the limit of a workspace.
func (s *Snapshot) Limit(workspace string) (Limit, bool) {
	l, ok := s.limits[workspace]
	return l, ok
}

// Shard returns a shard by its index.
func (s *Snapshot) Shard(index uint32) (*schema.Shard, bool) {
	shard, ok := s.shards[index]
	return shard, ok
}

// IsFenced reports whether an incarnation of a node has lost its loans.
func (s *Snapshot) IsFenced(name string, incarnation uint64) bool {
	return slices.ContainsFunc(s.State.GetFences(), func(f *schema.Fence) bool {
		return f.GetName() == name && f.GetIncarnation() == incarnation
	})
}

// Route returns the route with the longest matching prefix among the routes of the
// host, or if there is none, among the routes that apply to all hosts.
func (s *Snapshot) Route(host, method, path string) (*Route, bool) {
	if routes := s.routes[host]; routes != nil {
		if r, ok := longestMatch(routes, method, path); ok {
			return r, true
		}
	}
	return longestMatch(s.routes[""], method, path)
}

// accepts reports whether a route with a matching prefix serves a request. The prefixes of
// routes with a host end with a slash, which cleanPrefix removes, so a path equal to the
// cleaned prefix does not match them.
func (r *Route) accepts(method, path string) bool {
	if r.Host != "" && r.Prefix != "/" && len(path) <= len(r.Prefix) {
		return false
	}
	return len(r.Methods) == 0 || slices.Contains(r.Methods, method)
}

func longestMatch(routes map[string][]*Route, method, path string) (*Route, bool) {
	prefix := cleanPrefix(path)
	for {
		for _, r := range routes[prefix] {
			if r.accepts(method, path) {
				return r, true
			}
		}
		if prefix == "/" {
			return nil, false
		}
		// A path that does not begin with a slash matches "/" only.
		prefix = cleanPrefix(prefix[:max(strings.LastIndexByte(prefix, '/'), 0)])
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

// Fingerprint returns the shortened digest that identifies a key to operators.
func Fingerprint(digest []byte) string {
	text := hex.EncodeToString(digest)
	return text[:min(len(text), fingerprintDigits)]
}
