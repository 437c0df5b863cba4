package driver

import "time"

const (
	// warmUp is the time at the start of a run that is excluded from the goodput
	// before the trigger.
	warmUp = 2 * time.Second
	// recoveredRatio is the fraction of the goodput before the trigger from which
	// a stream counts as recovered.
	recoveredRatio = 0.95
	// smoothingBuckets is the number of buckets over which goodput is averaged.
	smoothingBuckets = 10
)

// Phases compares goodput before, during and after a trigger, in answered
// requests per second. Requests count at the time they were due.
type Phases struct {
	Before float64 `json:"before"`
	During float64 `json:"during"`
	After  float64 `json:"after"`
	// Recovery is the time from the end of the trigger to the start of the first
	// second with at least 95 % of the goodput before it.
	Recovery  time.Duration `json:"recovery"`
	Recovered bool          `json:"recovered"`
}

// comparePhases computes goodput around a trigger from the answers per bucket.
func comparePhases(answered []int, from, to time.Duration) *Phases {
	last := max(len(answered)-1, 0)
	p := &Phases{
		Before: goodput(answered, int(warmUp/bucketWidth), int(from/bucketWidth)),
		During: goodput(answered, int(from/bucketWidth), int(to/bucketWidth)),
		After:  goodput(answered, int(to/bucketWidth), last),
	}
	end := int(to / bucketWidth)
	for i := end; i+smoothingBuckets <= last; i++ {
		if goodput(answered, i, i+smoothingBuckets) >= recoveredRatio*p.Before {
			p.Recovery = time.Duration(i-end) * bucketWidth
			p.Recovered = true
			break
		}
	}
	return p
}

// goodput returns the answers per second in the buckets from i up to, but not
// including, j.
func goodput(answered []int, i, j int) float64 {
	j = min(j, len(answered))
	if i >= j {
		return 0
	}
	sum := 0
	for _, n := range answered[i:j] {
		sum += n
	}
	return float64(sum) / (time.Duration(j-i) * bucketWidth).Seconds()
}
