//go:build review3

// Command standins3 plays the cases of a review: it starts the instances of the system as processes of their own, with the command of the
// deploy file, and stands in for the platform's store, the workers and the clients.
//
// Usage, from the repository:
//
//	standins3 CASE FOLDER
//
// The environment variable TROUBLE=0 leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"time"
)

// trouble reports whether the disruption is played.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

var cases = map[string]func(f *fleet) (broken int){
	"drain-retry":    drainRetry,
	"unframed-crash": unframedCrash,
}

// limit is the longest time of a case.
const limit = 110 * time.Second

func main() {
	if len(os.Args) == 3 && os.Args[1] == "worker" {
		runWorker(os.Args[2])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins3 CASE FOLDER")
		os.Exit(2)
	}
	f := newFleet(os.Args[2])
	current = f
	time.AfterFunc(limit, func() { must(fmt.Errorf("the case takes longer than %v", limit)) })
	broken := cases[os.Args[1]](f)
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Println("logs in", f.dir)
		f.dir = f.dir + "-none"
	}
	f.end()
	f.log("the rule was broken %d times", broken)
	fmt.Printf("%s: the rule was broken %d times\n", os.Args[1], broken)
	if broken > 0 {
		os.Exit(1)
	}
}
