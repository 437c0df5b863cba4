package guard

import "time"

const (
	// overloadDecrease is the ratio of the requests to admit in the next window
	// to the completed ones while the queueing delay is too long.
	overloadDecrease = 0.95
	// admitIncrease is the factor applied to the number of admitted requests
	// while the queueing delay is short.
	admitIncrease = 1.1
	// relaxUtilization is the ratio of active requests to the concurrency limit
	// below which the level is lowered towards shedding nothing.
	relaxUtilization = 0.5
	// countDecay is the factor applied to the counts at the end of each window.
	countDecay = 0.6
	// minWorkspaceCount is the number of requests, reduced by countDecay, below which a
	// workspace does not count among those that share a class.
	minWorkspaceCount = 0.05
	// maxLevelDrop is the largest decrease of the level in a window. Requests
	// shed at the entry are not counted here, so the number of requests that a
	// lower level would admit is not known.
	maxLevelDrop = RanksPerClass / 4
)

// level controls the lowest priority that is admitted. It is adjusted once per
// window by the mean queueing delay.
type level struct {
	targetDelay time.Duration
	minPriority uint32

	windowStart time.Time
	// The counts below decay from window to window.
	arrived   [numPriorities]float64
	admitted  float64
	completed float64
	// exempted counts the admitted requests below the level.
	exempted float64
	// workspaces counts the admitted requests of each class by workspace.
	workspaces [NumClasses]map[string]float64

	delaySum   time.Duration
	delayCount int
}

func newLevel(o Options, now time.Time) level {
	return level{targetDelay: o.TargetDelay, windowStart: now}
}

// admit records an arrival and reports whether it is admitted. In the class that is shed
// in part, requests of workspaces with less than their fair share are exempt, since ranks
// shed the same ratio of all workspaces, however little they send.
func (l *level) admit(priority uint32, workspace string) bool {
	l.arrived[min(int(priority), numPriorities-1)]++
	if priority < l.minPriority {
		if priority/RanksPerClass != l.minPriority/RanksPerClass || !l.belowFairShare(priority/RanksPerClass, workspace) {
			return false
		}
		l.exempted++
	}
	l.admitted++
	l.countWorkspace(priority/RanksPerClass, workspace)
	return true
}

// belowFairShare reports whether fewer requests of a workspace were admitted in a class
// than of the workspaces on average.
func (l *level) belowFairShare(class uint32, workspace string) bool {
	counts := l.workspaces[min(class, NumClasses-1)]
	if len(counts) < 2 {
		return false
	}
	total := 0.0
	for _, n := range counts {
		total += n
	}
	return counts[workspace] < total/float64(len(counts))
}

func (l *level) countWorkspace(class uint32, workspace string) {
	counts := &l.workspaces[min(class, NumClasses-1)]
	if *counts == nil {
		*counts = map[string]float64{}
	}
	(*counts)[workspace]++
}

// decayWorkspaces reduces the counts of workspaces and removes those that send nothing.
func (l *level) decayWorkspaces() {
	for _, counts := range l.workspaces {
		for workspace := range counts {
			counts[workspace] *= countDecay
			if counts[workspace] < minWorkspaceCount {
				delete(counts, workspace)
			}
		}
	}
}

// recordDelay adds the queueing delay of a request to the mean of the window.
func (l *level) recordDelay(d time.Duration) {
	l.delaySum += d
	l.delayCount++
}

// recordCompletion counts a request that ended at the upstream.
func (l *level) recordCompletion() { l.completed++ }

// adjust changes the level if a window has passed. A queueing delay up to
// noLoadLatency is accepted even if it exceeds the target: with few slots, a
// queue of one service time is needed to keep them all in use.
func (l *level) adjust(now time.Time, active, limit, queued int, noLoadLatency time.Duration) {
	elapsed := now.Sub(l.windowStart)
	if elapsed < measurementWindow {
		return
	}
	switch {
	case l.overloaded(max(l.targetDelay, noLoadLatency)):
		l.setForAdmitted(min(l.admitted, l.completed*overloadDecrease) - l.exempted)
	case queued == 0 && float64(active) < relaxUtilization*float64(limit) && l.delaySum == 0:
		l.lower(elapsed)
	default:
		l.setForAdmitted(l.admitted*admitIncrease + 1 - l.exempted)
	}
	l.windowStart = now
	for p := range l.arrived {
		l.arrived[p] *= countDecay
	}
	l.admitted *= countDecay
	l.completed *= countDecay
	l.exempted *= countDecay
	l.decayWorkspaces()
	l.delaySum, l.delayCount = 0, 0
}

func (l *level) overloaded(target time.Duration) bool {
	return l.delayCount > 0 && l.delaySum/time.Duration(l.delayCount) > target
}

// lower decreases the level by maxLevelDrop for each window that has passed.
func (l *level) lower(elapsed time.Duration) {
	steps := uint32(min(elapsed/measurementWindow, time.Duration(numPriorities)))
	l.minPriority -= min(l.minPriority, steps*maxLevelDrop)
}

// setForAdmitted sets the level at which about the wanted number of the counted
// arrivals would have been admitted.
func (l *level) setForAdmitted(wanted float64) {
	minPriority := uint32(max(0, int(l.minPriority)-maxLevelDrop))
	sum := 0.0
	for p := numPriorities - 1; p >= int(minPriority); p-- {
		sum += l.arrived[p]
		if sum > wanted {
			minPriority = uint32(min(p+1, numPriorities-1))
			break
		}
	}
	l.minPriority = minPriority
}
