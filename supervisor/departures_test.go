package supervisor_test

import (
	"testing"
	"time"

	"quetzalhub/forwarder"
	"quetzalhub/refuser"
	"quetzalhub/supervisor"
)

func recalledDeparture(id string, born int64) func(*supervisor.Supervisor, *upstream) {
	return func(s *supervisor.Supervisor, _ *upstream) { s.RecallDeparture(id, born) }
}

// TestDepartureOfUnreportedStart guards against requests to an instance whose departure was
// acknowledged, because it is the first sign of a start: reports are late, a health check
// states no start time, clocks are set back and messages overtake each other.
func TestDepartureOfUnreportedStart(t *testing.T) {
	const none, draining, ok = refuser.EndpointMissing, refuser.Draining, refuser.None
	cases := map[string][]step{
		"a start that leaves before its first report, under the ID of the one before": {
			{report("a", 10, 1, false), none},
			{healthy("a"), ok},
			{observe(forwarder.Unreachable), ok},
			{leave("a", 20), draining},
			{report("a", 20, 1, false), draining},
			{report("a", 10, 2, false), draining},
			{wait(6 * time.Second), draining},
			{report("a", 30, 1, false), ok},
		},
		"a start that leaves before its first report, after a restart of the node": {
			{recalled("a", 10), none},
			{healthy("a"), ok},
			{leave("a", 20), draining},
			{report("a", 20, 1, false), draining},
			{report("a", 10, 2, false), draining},
			{report("a", 30, 1, false), ok},
		},
		"a start with a clock that was set back leaves before its first report": {
			{report("a", 20, 1, false), none},
			{healthy("a"), ok},
			{leave("a", 10), none},
			{wait(6 * time.Second), none},
			{report("a", 10, 1, false), none},
			{wait(10 * time.Second), none},
			{report("a", 10, 2, false), none},
		},
		"a start with a clock that was set back reports that it leaves": {
			{report("a", 20, 1, false), none}, {healthy("a"), ok}, {report("a", 10, 1, true), none}, {wait(10 * time.Second), none}, {report("a", 10, 2, false), none},
		},
		"a start with a clock that was set back, in use after some time, leaves": {
			{report("a", 20, 1, false), none},
			{healthy("a"), ok},
			{report("a", 10, 1, false), ok},
			{wait(8 * time.Second), ok},
			{report("a", 10, 9, false), ok},
			{leave("a", 10), draining},
			{report("a", 10, 10, false), draining},
		},
		"a late departure of an earlier start that was never reported": {
			{report("a", 20, 1, false), none},
			{healthy("a"), ok},
			{leave("a", 10), none},
			{report("a", 20, 1, false), none},
			{report("a", 20, 2, false), none},
			{wait(7 * time.Second), none},
			{report("a", 20, 3, false), ok},
		},
		"a late departure of an earlier start": {
			{report("a", 10, 1, false), none}, {healthy("a"), ok}, {report("a", 20, 1, false), ok}, {leave("a", 10), ok}, {report("a", 10, 9, true), ok},
		},
		"a late report of an earlier start after an unknown one has left": {
			{leave("a", 20), none}, {report("a", 10, 1, false), none}, {healthy("a"), none}, {report("a", 10, 2, false), none}, {report("a", 30, 1, false), ok},
		},
		"a departure of an earlier start that is recalled late": {
			{report("a", 20, 1, false), none}, {healthy("a"), ok}, {recalledDeparture("a", 10), ok}, {recalledDeparture("a", 0), ok},
		},
		"a departure that is recalled late": {
			{report("a", 20, 1, false), none}, {healthy("a"), ok}, {recalledDeparture("a", 20), draining}, {report("a", 20, 2, false), draining},
		},
		"a late report of an earlier start after a restart beside one that has left": {
			{recalledDeparture("a", 20), none}, {recalled("a", 20), none}, {healthy("a"), none}, {report("a", 10, 1, false), none}, {report("a", 20, 3, false), none},
		},
		"a draining report that a later report overtakes": {
			{report("a", 10, 5, false), none}, {healthy("a"), ok}, {report("a", 10, 4, true), draining}, {report("a", 10, 6, false), draining},
		},
		"a draining report of an instance with a lower start time": {
			{report("b", 20, 1, false), none},
			{healthy("b"), ok},
			{report("a", 10, 9, true), ok},
			{healthy("a"), ok},
			{observe(forwarder.Reassigned), none},
			{wait(3 * time.Second), none},
			{report("a", 10, 10, false), none},
		},
		"an instance that leaves without its start time before it is found": {
			{report("a", 10, 1, false), none}, {leave("a", 0), draining}, {report("a", 10, 2, false), draining}, {healthy("a"), draining},
		},
		"an earlier instance that leaves without its start time": {
			{report("b", 30, 1, false), none}, {report("a", 10, 1, false), none}, {leave("a", 0), none}, {healthy("a"), none}, {report("a", 10, 2, false), none},
		},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) { runSteps(t, steps) })
	}
}
