// Package repeater calls a function periodically, and aligns timers.
//
// A process that sleeps most of the time pays for each time that it wakes up. Timers that
// need not be exact are aligned to multiples of a common interval of the clock, so that
// many of them fire at the same time.
//
// # Usage
//
//	repeater.Run(ctx, time.Second, sweep)
//	repeater.RunAligned(ctx, 200*time.Millisecond, decide)
//	timer.Reset(repeater.Align(200*time.Millisecond, 50*time.Millisecond))
package repeater

import (
	"context"
	"time"
)

// Run calls step once per interval, first after one interval, until the context ends. It
// blocks; calls of step do not overlap.
func Run(ctx context.Context, interval time.Duration, step func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			step()
		}
	}
}

// RunAligned is like Run, but calls step at multiples of the interval.
func RunAligned(ctx context.Context, interval time.Duration, step func()) {
	timer := time.NewTimer(Align(0, interval))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			step()
			timer.Reset(Align(0, interval))
		}
	}
}

// Align returns the time from now until the first multiple of an interval of the clock
// that is later than after the given delay.
func Align(delay, interval time.Duration) time.Duration {
	now := time.Now()
	earliest := now.Add(delay)
	return earliest.Truncate(interval).Add(interval).Sub(now.Round(0))
}
