// Command lab plays the cases of the second review against the project's daemon.
//
// Usage:
//
//	lab CASE RECORD
//
// It runs in the root of the repository, after the build of the deploy file, and writes to the
// file RECORD what was sent, answered and run. It exits with 1 if the rule was broken, 0 if it
// held, and 2 if the case couldn't run. With TROUBLE=0 in the environment it leaves out the
// disruption.
package main

import (
	"fmt"
	"os"
)

// cases returns whether the rule was broken.
var cases = map[string]func(l *lab, trouble bool) (bool, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, path string) int {
	log, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	l, err := newLab(log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer l.close()
	broken, err := cases[name](l, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		log.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken:
		log.add("the rule was broken")
		return 1
	default:
		log.add("the rule held")
		return 0
	}
}
