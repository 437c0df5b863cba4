package resolver_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"quetzalhub/resolver"
	"quetzalhub/schema"
)

// compileSnapshot returns a snapshot with count workspaces and a route for each,
// a withdrawn key and three further routes.
func compileSnapshot(t testing.TB, count int) *resolver.Snapshot {
	config := &schema.Config{}
	for i := range count {
		digest := resolver.DigestOf(fmt.Sprintf("key-%d", i))
		w := &schema.Workspace{Name: fmt.Sprintf("workspace-%d", i), Rate: 1, Burst: 1, Keys: []*schema.Key{{Digest: digest[:]}}}
		config.Workspaces = append(config.Workspaces, w)
		r := &schema.Route{Prefix: fmt.Sprintf("/service-%d/orders", i), Service: "orders"}
		config.Routes = append(config.Routes, r)
	}
	withdrawn := resolver.DigestOf("withdrawn")
	config.Workspaces[0].Keys = append(config.Workspaces[0].Keys, &schema.Key{Digest: withdrawn[:], Withdrawn: timestamppb.Now()})
	config.Routes = append(
		config.Routes,
		&schema.Route{Prefix: "/", Service: "front"},
		&schema.Route{Prefix: "/service-1/orders", Methods: []string{"POST"}, Service: "unreachable"},
		&schema.Route{Prefix: "/files", Methods: []string{"GET"}, Service: "files"},
	)
	raw, err := proto.Marshal(&schema.State{Version: 1, Config: config})
	if err != nil {
		t.Fatal(err)
	}
	s, err := resolver.Compile(raw)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestRoutes guards against matching a prefix in the middle of a path element, or
// a route that does not serve the method.
func TestRoutes(t *testing.T) {
	s := compileSnapshot(t, 3)
	cases := map[string]struct{ method, path, service string }{
		"exact":            {"GET", "/service-2/orders", "orders"},
		"below the prefix": {"GET", "/service-2/orders/7/lines", "orders"},
		"trailing slash":   {"GET", "/service-2/orders/", "orders"},
		"partial element":  {"GET", "/service-2/orderseven", "front"},
		"method mismatch":  {"POST", "/files/1", "front"},
		"method match":     {"GET", "/files/1", "files"},
		"root":             {"GET", "/", "front"},
		"empty":            {"GET", "", "front"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r, ok := s.Route("", c.method, c.path)
			g.Expect(ok).To(BeTrue())
			g.Expect(r.Service).To(Equal(c.service))
		})
	}
}

// TestRoutesBelowPrefix guards against a route of a host that hides the one with a shorter
// prefix for a path that equals its own prefix without the slash, which it does not serve.
func TestRoutesBelowPrefix(t *testing.T) {
	raw, err := proto.Marshal(&schema.State{Version: 1, Config: &schema.Config{Routes: []*schema.Route{
		{Host: "puka.example", Prefix: "/puka/", Service: "short"},
		{Host: "puka.example", Prefix: "/puka/nuevo/", Service: "long"},
		{Host: "puka.example", Prefix: "/puka/nuevo/hoy/", Methods: []string{"POST"}, Service: "longest"},
		{Host: "root.example", Prefix: "/", Service: "root"},
		{Host: "root.example", Prefix: "/puka/", Service: "short"},
		{Prefix: "/puka", Service: "any"},
	}}})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	s, err := resolver.Compile(raw)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	cases := map[string]struct{ host, method, path, service string }{
		"below the long prefix":              {"puka.example", "GET", "/puka/nuevo/1", "long"},
		"the long prefix":                    {"puka.example", "GET", "/puka/nuevo/", "long"},
		"the long prefix without its slash":  {"puka.example", "GET", "/puka/nuevo", "short"},
		"two prefixes without their slash":   {"puka.example", "POST", "/puka/nuevo/hoy", "long"},
		"method of the longest prefix":       {"puka.example", "POST", "/puka/nuevo/hoy/1", "longest"},
		"partial element":                    {"puka.example", "GET", "/puka/nuevos", "short"},
		"the short prefix without its slash": {"puka.example", "GET", "/puka", "any"},
		"no host":                            {"", "GET", "/puka/nuevo", "any"},
		"root of the host":                   {"root.example", "GET", "/puka", "root"},
		"root":                               {"root.example", "GET", "/", "root"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r, ok := s.Route(c.host, c.method, c.path)
			g.Expect(ok).To(BeTrue())
			g.Expect(r.Service).To(Equal(c.service))
		})
	}
}

// TestKeys looks up valid, withdrawn and unknown keys. A withdrawn key must be
// found, so that it can be told from an unknown one.
func TestKeys(t *testing.T) {
	g := NewWithT(t)
	s := compileSnapshot(t, 3)
	key, ok := s.Key("key-2")
	g.Expect(ok).To(BeTrue())
	g.Expect(key).To(Equal(resolver.KeyInfo{Workspace: "workspace-2"}))
	key, ok = s.Key("withdrawn")
	g.Expect(ok).To(BeTrue())
	g.Expect(key.Withdrawn).To(BeTrue())
	_, ok = s.Key("key-3")
	g.Expect(ok).To(BeFalse())
}

// TestRegions guards against regions that are lost when a state is compiled, and against a
// route or workspace that lifts the bound of the other one.
func TestRegions(t *testing.T) {
	cases := map[string]struct {
		route, workspace []string
		allowed          []string
	}{
		"none":             {allowed: []string{"south", "north", "east", ""}},
		"route":            {route: []string{"south"}, allowed: []string{"south"}},
		"workspace":        {workspace: []string{"north", "east"}, allowed: []string{"north", "east"}},
		"both":             {route: []string{"south", "north"}, workspace: []string{"north", "east"}, allowed: []string{"north"}},
		"both, none alike": {route: []string{"south"}, workspace: []string{"north"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			raw, err := proto.Marshal(&schema.State{Version: 1, Config: &schema.Config{
				Workspaces: []*schema.Workspace{{Name: "gloves", Regions: c.workspace}},
				Routes:     []*schema.Route{{Prefix: "/orders", Service: "orders", Regions: c.route}},
			}})
			g.Expect(err).NotTo(HaveOccurred())
			s, err := resolver.Compile(raw)
			g.Expect(err).NotTo(HaveOccurred())
			route, ok := s.Route("", "GET", "/orders/1")
			g.Expect(ok).To(BeTrue())
			regions := s.Regions(route, "gloves")
			var allowed []string
			for _, region := range []string{"south", "north", "east", ""} {
				if regions.Allow(region) {
					allowed = append(allowed, region)
				}
			}
			g.Expect(allowed).To(Equal(c.allowed))
			g.Expect(regions.Bound()).To(Equal(s.HasRegions()))
			g.Expect(s.Regions(route, "")).To(Equal(resolver.Regions{Route: route.Regions}))
		})
	}
}

// BenchmarkLookUp shows that the cost of a lookup does not depend on the size of
// the configuration.
func BenchmarkLookUp(b *testing.B) {
	for _, count := range []int{10, 1000, 100000} {
		s := compileSnapshot(b, count)
		b.Run(fmt.Sprintf("%d workspaces and routes", count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s.Key("key-7")
				s.Route("", "GET", "/service-7/orders/12/lines/3")
			}
		})
	}
}
