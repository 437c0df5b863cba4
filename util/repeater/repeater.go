// Package repeater runs a step again and again.
//
// # Usage
//
//	repeater.Run(ctx, time.Second, sweep)
package repeater

import (
	"context"
	"time"
)

// Run calls step after each interval until the context ends.
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
