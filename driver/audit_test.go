package driver_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"quetzalhub/driver"
)

func TestExamine(t *testing.T) {
	cases := map[string]struct {
		state      driver.State
		runs       int
		idempotent bool
		clean      bool
	}{
		"answered once":               {"answered", 1, false, true},
		"answered, never ran":         {"answered", 0, false, false},
		"ran twice":                   {"answered", 2, false, false},
		"ran twice, idempotent":       {"answered", 2, true, true},
		"not run, did not run":        {"code 1005", 0, false, true},
		"not run, ran":                {"code 2002", 1, false, false},
		"not run, ran, idempotent":    {"code 2002", 1, true, false},
		"unknown, ran":                {"code 3001", 1, false, true},
		"unknown, did not run":        {"cut", 0, false, true},
		"unknown, ran twice":          {"cut", 2, false, false},
		"status of the upstream, ran": {"status 500", 1, false, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			results := []driver.Result{{Idempotent: c.idempotent, States: map[string]driver.State{"a": c.state}}}
			audit := driver.AuditResults(results, map[string]int{"a": c.runs})
			NewWithT(t).Expect(audit.Passed()).To(Equal(c.clean))
		})
	}
}
