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
	"frozen":       frozenWatcher,
	"reborn":       rebornEngine,
	"reborn-plain": rebornPlain,
}

// env is what a scenario works with.
type env struct {
	trouble bool
	network string // network is the first three numbers of the instances' addresses.
	record  *record
	store   *store
	fleet   *fleet
}

// newEnv returns a deployment without instances, with a store that listens. The files of its instances are in a directory.
func newEnv(dir, program string, r *record) (*env, error) {
	e := &env{trouble: os.Getenv("TROUBLE") != "0", record: r, store: newStore(), network: "127.0.0"}
	address, err := e.store.listen()
	if err != nil {
		return nil, err
	}
	found, err := freePorts(3)
	if err != nil {
		return nil, err
	}
	e.fleet = &fleet{dir: dir, program: program, record: r, store: address, ports: ports{frontend: found[0], ready: found[1], first: 20000 + found[2]%10000}}
	return e, nil
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "engine" {
		os.Exit(serveEngine(os.Args[2:]))
	}
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
	endOnSignal()
	program, _ = filepath.Abs(program)
	e, err := newEnv(dir, program, r)
	if err != nil {
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
