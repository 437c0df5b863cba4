package driver_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"quetzalhub/driver"
)

// TestAuditResults guards against an audit that misses a duplicate run or a
// false report, or that fails on a permitted outcome.
func TestAuditResults(t *testing.T) {
	cases := map[string]struct {
		state      driver.State
		runs       int
		idempotent bool
		clean      bool
	}{
		"answered once":                     {"answered", 1, false, true},
		"answered, never ran":               {"answered", 0, false, false},
		"ran twice":                         {"answered", 2, false, false},
		"ran twice, idempotent":             {"answered", 2, true, true},
		"reported not run, did not run":     {"code 1005", 0, false, true},
		"reported not run, ran":             {"code 2002", 1, false, false},
		"reported not run, ran, idempotent": {"code 2002", 1, true, false},
		"outcome unknown, ran":              {"code 3001", 1, false, true},
		"outcome unknown, did not run":      {"cut", 0, false, true},
		"outcome unknown, ran twice":        {"cut", 2, false, false},
		"status from the upstream, ran":     {"status 500", 1, false, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			results := []driver.Result{{Idempotent: c.idempotent, States: map[string]driver.State{"a": c.state}}}
			audit := driver.AuditResults(results, map[string]int{"a": c.runs})
			NewWithT(t).Expect(audit.Passed()).To(Equal(c.clean))
		})
	}
}
