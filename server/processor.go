package server

import (
	"syscall"
	"time"
)

// processorTime returns the CPU time (user and system) used by this process in
// seconds.
func processorTime() any {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	user := time.Duration(usage.Utime.Nano())
	system := time.Duration(usage.Stime.Nano())
	return (user + system).Seconds()
}
