// Package repeater calls a function periodically.
//
// # Usage
//
//	repeater.Run(ctx, time.Second, sweep)
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
