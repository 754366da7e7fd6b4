// Command standins holds the stand-ins of the review's scripts: the platform's store, workers and clients, and the cases
// that run them against the project's own program.
//
// Usage:
//
//	standins worker -id w1 -service svc -address 127.0.0.1:7001 -zone za -store 127.0.0.1:7000
//	standins case NAME -daemon target/cuminrouted -record record.txt
//
// A case exits with status 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standins worker|case ...")
		os.Exit(exitNotRun)
	}
	switch os.Args[1] {
	case "worker":
		if err := runWorker(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitNotRun)
		}
	case "case":
		os.Exit(runCase(os.Args[2:]))
	default:
		fmt.Fprintf(os.Stderr, "unknown command %q\n", os.Args[1])
		os.Exit(exitNotRun)
	}
}

// cases maps the names of the cases to what they run.
var cases = map[string]func(f *fleet, trouble bool) (broken bool, err error){
	"worker-crashes": runWorkerCrashes,
	"planned-stop":   runPlannedStop,
	"short-streams":  runShortStreams,
}

func runCase(args []string) int {
	if len(args) == 0 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "unknown case")
		return exitNotRun
	}
	flags := flag.NewFlagSet("case", flag.ExitOnError)
	daemon := flags.String("daemon", "target/cuminrouted", "program of an instance")
	record := flags.String("record", "record.txt", "file for what was sent, answered and run")
	_ = flags.Parse(args[1:]) // ExitOnError
	f, err := newFleet(*daemon, *record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.stop()
	f.stopOnSignal()
	broken, err := cases[args[0]](f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		f.note("the case could not run: %v", err)
		return exitNotRun
	case broken:
		f.note("result: the rule was broken")
		return exitBroken
	default:
		f.note("result: the rule held")
		return exitHeld
	}
}
