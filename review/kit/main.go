// Command lab plays the cases of the review: it starts VMs of the deploy file as processes
// on loopback addresses, with stand-ins for the platform's store, the workers and callers.
//
//	lab CASE FOLDER
//
// The exit code is 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(l *lab){
	"bounds": playBounds,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "want a case and its folder")
		os.Exit(2)
	}
	cases[os.Args[1]](newLab(os.Args[2]))
}
