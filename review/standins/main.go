package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// verdict is the result of a case: whether the rule was broken, and the sentences that say
// what was seen.
type verdict struct {
	broken bool
	lines  []string
}

func (v *verdict) say(format string, args ...any) {
	v.lines = append(v.lines, fmt.Sprintf(format, args...))
}

var cases = map[string]func(*lab) (*verdict, error){
	"reuse":      reuse,
	"unreadable": unreadable,
	"upload":     upload,
	"stale":      stale,
	"flap":       flap,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE ROOT RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

// play plays a case. It returns 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
func play(c func(*lab) (*verdict, error), root, record string) int {
	l, err := newLab(root, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-signals
		l.stop()
		os.Exit(2)
	}()
	v, err := c(l)
	if err != nil {
		l.note("the case could not run: %v", err)
	} else {
		for _, text := range v.lines {
			l.note("RESULT: %s", text)
			fmt.Println(text)
		}
	}
	l.stop()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return 2
	case v.broken:
		return 1
	default:
		return 0
	}
}
