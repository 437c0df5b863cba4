package loader_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/loader"
)

const valid = `
[node]
name = node-1
domain = north
callers = 127.0.0.1:1
peers = 127.0.0.1:2
local = 127.0.0.1:3
admin = 127.0.0.1:4
[platform]
address = 127.0.0.1:5
[gossip]
secret = 0123456789abcdef
`

func TestDefaults(t *testing.T) {
	g := NewWithT(t)
	s, err := loader.Parse([]byte(valid))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.GetNode().GetRegion()).To(Equal("main"))
	g.Expect(s.GetGossip().GetInterval().AsDuration()).To(Equal(500 * time.Millisecond))
	g.Expect(s.GetTraffic().GetRetries()).To(Equal(uint32(3)))
}

// TestFaultMessages checks that the message of a fault contains the section, the key and
// the accepted values.
func TestFaultMessages(t *testing.T) {
	cases := map[string]struct{ text, want string }{
		"unknown key":     {valid + "intervall = 1s\n", "[gossip] intervall: unknown key; did you mean interval?"},
		"unknown section": {valid + "[gossipp]\nx = 1\n", "[gossipp]: unknown section; did you mean gossip?"},
		"out of range":    {valid + "interval = 1h\n", `[gossip] interval: "1h": accepted: a duration from 50ms to 10s`},
		"not a duration":  {valid + "interval = soon\n", `[gossip] interval: "soon": accepted: a duration from 50ms to 10s`},
		"host name":       {valid + "[node]\ncallers = localhost:80\n", "[node] callers: \"localhost:80\": accepted: an IP address and port"},
		"choice":          {valid + "[node]\nlevel = loud\n", `[node] level: "loud": accepted: debug, info, warn, error`},
		"number":          {valid + "[traffic]\nretries = -1\n", `[traffic] retries: "-1": accepted: a whole number from 0 to 20`},
		"missing":         {"[node]\nname = x\n", "[node] domain: missing; must be given"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := loader.Parse([]byte(c.text))
			NewWithT(t).Expect(err).To(MatchError(ContainSubstring(c.want)))
		})
	}
}

// TestFractionalBounds guards against refusing to start because a bound of the platform
// is a fraction: budgets that are shared out among fleets of different sizes need not be
// whole numbers of requests.
func TestFractionalBounds(t *testing.T) {
	g := NewWithT(t)
	s, err := loader.Parse([]byte(valid + "[bounds]\noverage = 0.25\nratio = 0.15\nallowance = 12.5\nslack = 42.4\n"))
	g.Expect(err).NotTo(HaveOccurred())
	b := s.GetBounds()
	g.Expect([]float64{b.GetOverage(), b.GetRatio(), b.GetAllowance(), b.GetSlack()}).To(Equal([]float64{0.25, 0.15, 12.5, 42.4}))
}

// TestAllFaultsAtOnce checks that a fault does not prevent the others from being
// reported.
func TestAllFaultsAtOnce(t *testing.T) {
	g := NewWithT(t)
	_, err := loader.Parse([]byte("[node]\nname = x\n[bogus]\na = 1\n"))
	faults, ok := err.(loader.Faults)
	g.Expect(ok).To(BeTrue())
	g.Expect(len(faults)).To(BeNumerically(">=", 7))
}

// TestOverrides guards against values of the command line that are lost, or that hide a
// fault, and against an empty one that replaces a value of the file.
func TestOverrides(t *testing.T) {
	const node = "[node]\nname = n\ndomain = hall\ncallers = 127.0.0.1:1\npeers = 127.0.0.1:2\nlocal = 127.0.0.1:3\nadmin = 127.0.0.1:4\n[platform]\naddress = 127.0.0.1:5\n"
	cases := map[string]struct {
		file, override string
		want           time.Duration
		fault          string
	}{
		"none in the file":   {"", "bounds.evacuation=3s", 3 * time.Second, ""},
		"instead of a value": {"[bounds]\nevacuation = 9s\n", "bounds.evacuation=3s", 3 * time.Second, ""},
		"empty":              {"[bounds]\nevacuation = 9s\n", "bounds.evacuation=", 9 * time.Second, ""},
		"not a duration":     {"", "bounds.evacuation=soon", 0, "[bounds] evacuation"},
		"unknown key":        {"", "bounds.evacuations=3s", 0, "unknown key"},
		"no section":         {"", "evacuation=3s", 0, "section.key=value"},
		"no value":           {"", "bounds.evacuation", 0, "section.key=value"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			path := filepath.Join(t.TempDir(), "settings.ini")
			g.Expect(os.WriteFile(path, []byte(node+c.file), 0o600)).To(Succeed())
			s, err := loader.Load(path, c.override)
			if c.fault != "" {
				g.Expect(err).To(MatchError(ContainSubstring(c.fault)))
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(s.GetBounds().GetEvacuation().AsDuration()).To(Equal(c.want))
		})
	}
}
