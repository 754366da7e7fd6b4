//go:build review2

// Command standins2 runs the scripts of the second review: it holds the clients, the workers and the platform's store, and starts the
// project's instances as processes.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a script.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// scenario is what a script plays. It returns whether the rule was broken.
type scenario func(e *env) (bool, error)

var scenarios = map[string]scenario{
	"copy-restart": copyRestart,
	"drain-retry":  drainRetry,
}

// env is what a scenario works with.
type env struct {
	trouble bool
	record  *record
	store   *store
	fleet   *fleet
}

func main() {
	program := flag.String("program", "target/cuminrouted", "the instance's program")
	out := flag.String("record", "record.txt", "the file to write what was sent, answered and run to")
	flag.Parse()
	os.Exit(play(*program, *out, flag.Arg(0)))
}

func play(program, out, name string) int {
	run := scenarios[name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such scenario:", name)
		return notRun
	}
	r, err := newRecord(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	program, _ = filepath.Abs(program)
	found, err := freePorts(4)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	e := &env{trouble: os.Getenv("TROUBLE") != "0", record: r, store: newStore()}
	address := fmt.Sprintf("127.0.0.1:%d", found[0])
	e.fleet = &fleet{dir: dir, program: program, record: r, store: address, ports: ports{frontend: found[1], ready: found[2], first: 20000 + found[3]%20000}}
	if err := e.store.listen(address); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer e.fleet.stop()
	wrong, err := run(e)
	switch {
	case err != nil:
		r.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	case wrong:
		r.add("result: the rule was broken")
		return broken
	default:
		r.add("result: the rule held")
		return held
	}
}
