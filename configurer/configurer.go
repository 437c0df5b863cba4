// Package configurer applies operators' changes to the configuration.
//
// # Usage
//
//	version, err := editor.Edit(ctx, func(s *schema.State) error {
//		return configurer.SetWorkspace(s, "gloves", 100, 200)
//	})
//
// Every function validates its arguments. It either applies the whole change or
// returns an error that describes the invalid argument and changes nothing.
package configurer

import (
	"crypto/rand"
	"math"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"quetzalhub/resolver"
	"quetzalhub/schema"
)

const (
	// MaxRate is the largest accepted rate in requests per second.
	MaxRate = 1e7
	// MaxBurst is the largest accepted burst in requests.
	MaxBurst = 1e8
	// keyPrefix makes secrets recognizable, for example by scanners for leaked
	// secrets.
	keyPrefix = "qz_"
)

var validName = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Classes maps names to priority classes.
var Classes = map[string]schema.Class{
	"low":      schema.Class_CLASS_LOW,
	"normal":   schema.Class_CLASS_NORMAL,
	"high":     schema.Class_CLASS_HIGH,
	"critical": schema.Class_CLASS_CRITICAL,
}

// ClassName returns the name of a class, or "none".
func ClassName(c schema.Class) string {
	for name, class := range Classes {
		if class == c {
			return name
		}
	}
	return "none"
}

// CheckName returns an error if the name of a workspace or service is invalid.
func CheckName(name string) error {
	if !validName.MatchString(name) {
		return errors.NotValidf("name %q (lower-case letters, digits, dot, dash and underscore, at most 63)", name)
	}
	return nil
}

// CheckLimit returns an error if a rate or burst is out of range.
func CheckLimit(rate, burst float64) error {
	if math.IsNaN(rate) || rate < 0 || rate > MaxRate {
		return errors.NotValidf("rate %v (from 0 to %.0f requests per second)", rate, MaxRate)
	}
	if math.IsNaN(burst) || burst < 1 || burst > MaxBurst {
		return errors.NotValidf("burst %v (from 1 to %.0f requests)", burst, MaxBurst)
	}
	return nil
}

// configForUpdate returns the configuration of a state after incrementing its
// version.
func configForUpdate(s *schema.State) *schema.Config {
	if s.Config == nil {
		s.Config = &schema.Config{}
	}
	s.Config.Version++
	return s.Config
}

// Workspace returns the workspace with the given name.
func Workspace(s *schema.State, name string) (*schema.Workspace, error) {
	for _, w := range s.GetConfig().GetWorkspaces() {
		if w.GetName() == name {
			return w, nil
		}
	}
	return nil, errors.NotFoundf("workspace %q", name)
}

// SetWorkspace creates a workspace or updates its rate and burst.
func SetWorkspace(s *schema.State, name string, rate, burst float64) error {
	if err := CheckName(name); err != nil {
		return err
	}
	if err := CheckLimit(rate, burst); err != nil {
		return err
	}
	w, err := Workspace(s, name)
	if err != nil {
		w = &schema.Workspace{Name: name}
	}
	c := configForUpdate(s)
	if err != nil {
		c.Workspaces = append(c.Workspaces, w)
	}
	w.Rate, w.Burst = rate, burst
	return nil
}

// SetRegions sets the regions in which requests of a workspace may run; none allows all.
func SetRegions(s *schema.State, workspace string, regions []string) error {
	w, err := Workspace(s, workspace)
	if err != nil {
		return err
	}
	if err := checkRegions(regions); err != nil {
		return err
	}
	configForUpdate(s)
	w.Regions = regions
	return nil
}

func checkRegions(regions []string) error {
	for _, r := range regions {
		if err := CheckName(r); err != nil {
			return errors.Annotate(err, "region")
		}
	}
	return nil
}

// RemoveWorkspace removes a workspace with all its keys.
func RemoveWorkspace(s *schema.State, name string) error {
	if _, err := Workspace(s, name); err != nil {
		return err
	}
	c := configForUpdate(s)
	c.Workspaces = slices.DeleteFunc(c.Workspaces, func(w *schema.Workspace) bool { return w.GetName() == name })
	return nil
}

// Evacuate asks that the upstreams of a failure domain receive no requests.
func Evacuate(s *schema.State, domain string) error {
	if domain == "" {
		return errors.NotValidf("failure domain without a name")
	}
	if slices.Contains(s.GetConfig().GetEvacuated(), domain) {
		return errors.AlreadyExistsf("evacuation of failure domain %q", domain)
	}
	config := configForUpdate(s)
	config.Evacuated = append(config.Evacuated, domain)
	return nil
}

// Return takes back a failure domain that is evacuated.
func Return(s *schema.State, domain string) error {
	i := slices.Index(s.GetConfig().GetEvacuated(), domain)
	if i < 0 {
		return errors.NotFoundf("evacuation of failure domain %q", domain)
	}
	config := configForUpdate(s)
	config.Evacuated = slices.Delete(config.Evacuated, i, i+1)
	return nil
}

// NewSecret returns a new random secret for a key.
func NewSecret() string { return keyPrefix + rand.Text() }

// AddKey adds a key with the given secret to a workspace and returns its
// fingerprint.
func AddKey(s *schema.State, workspace, secret string) (string, error) {
	w, err := Workspace(s, workspace)
	if err != nil {
		return "", err
	}
	digest := resolver.DigestOf(secret)
	configForUpdate(s)
	w.Keys = append(w.Keys, &schema.Key{Digest: digest[:], Created: timestamppb.Now()})
	return resolver.Fingerprint(digest[:]), nil
}

// WithdrawKey marks the key with a fingerprint as withdrawn. This cannot be
// undone.
func WithdrawKey(s *schema.State, fingerprint string) error {
	var key *schema.Key
	for _, w := range s.GetConfig().GetWorkspaces() {
		for _, k := range w.GetKeys() {
			if resolver.Fingerprint(k.GetDigest()) == fingerprint {
				key = k
			}
		}
	}
	if key == nil {
		return errors.NotFoundf("key %q", fingerprint)
	}
	if key.GetWithdrawn() != nil {
		return errors.AlreadyExistsf("withdrawal of key %q", fingerprint)
	}
	configForUpdate(s)
	key.Withdrawn = timestamppb.Now()
	return nil
}

// Route is a route as specified by an operator.
type Route struct {
	Prefix     string
	Methods    []string
	Service    string
	Class      string
	Idempotent bool
	// AllowAnonymous is true if requests without a key are accepted.
	AllowAnonymous bool
	Timeout        time.Duration
	// Regions are those in which requests may run; empty for all.
	Regions []string
}

// SetRoute adds a route, replacing the one with the same prefix and methods.
func SetRoute(s *schema.State, r Route) error {
	class, ok := Classes[r.Class]
	if !ok {
		return errors.NotValidf("class %q (low, normal, high or critical)", r.Class)
	}
	if !strings.HasPrefix(r.Prefix, "/") {
		return errors.NotValidf("prefix %q (must begin with /)", r.Prefix)
	}
	if err := CheckName(r.Service); err != nil {
		return errors.Annotate(err, "service")
	}
	if r.Timeout < 0 || r.Timeout > 10*time.Minute {
		return errors.NotValidf("timeout %v (from 0s to 10m)", r.Timeout)
	}
	if err := checkRegions(r.Regions); err != nil {
		return err
	}
	slices.Sort(r.Methods)
	route := &schema.Route{
		Prefix: r.Prefix, Methods: r.Methods, Service: r.Service, Class: class,
		Idempotent: r.Idempotent, Open: r.AllowAnonymous, Regions: r.Regions,
	}
	if r.Timeout > 0 {
		route.Timeout = durationpb.New(r.Timeout)
	}
	c := configForUpdate(s)
	for i, old := range c.Routes {
		if old.GetPrefix() == r.Prefix && slices.Equal(old.GetMethods(), r.Methods) {
			c.Routes[i] = route
			return nil
		}
	}
	c.Routes = append(c.Routes, route)
	return nil
}
