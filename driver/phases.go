package driver

import "time"

const (
	// warmUp is the start of a run that is left out of the goodput before.
	warmUp = 2 * time.Second
	// recoveredShare is the share of the former goodput that counts as recovered.
	recoveredShare = 0.95
	// smoothSlices is the number of slices over which goodput is averaged.
	smoothSlices = 10
)

// Phases compares goodput around a trigger, in requests per second. Goodput
// counts requests by the time they were due.
type Phases struct {
	Before float64 `json:"before"`
	During float64 `json:"during"`
	After  float64 `json:"after"`
	// Recovery is the time from the end of the trigger until goodput is back
	// at 95 in 100 of what it was before, over a second.
	Recovery  time.Duration `json:"recovery"`
	Recovered bool          `json:"recovered"`
}

func phasesOf(course []int, from, to time.Duration) *Phases {
	last := max(len(course)-1, 0)
	p := &Phases{
		Before: goodput(course, int(warmUp/slice), int(from/slice)),
		During: goodput(course, int(from/slice), int(to/slice)),
		After:  goodput(course, int(to/slice), last),
	}
	end := int(to / slice)
	for i := end; i+smoothSlices <= last; i++ {
		if goodput(course, i, i+smoothSlices) >= recoveredShare*p.Before {
			p.Recovery = time.Duration(i-end) * slice
			p.Recovered = true
			break
		}
	}
	return p
}

// goodput returns the answers per second in slices i to j.
func goodput(course []int, i, j int) float64 {
	j = min(j, len(course))
	if i >= j {
		return 0
	}
	sum := 0
	for _, n := range course[i:j] {
		sum += n
	}
	return float64(sum) / (time.Duration(j-i) * slice).Seconds()
}
