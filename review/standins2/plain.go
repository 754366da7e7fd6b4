//go:build review2

package main

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"time"
)

// plainWorker is a plain worker in a process of its own.
type plainWorker struct {
	address string
	store   *store
	record  *record
	runs    chan *plainWorker // runs receives the worker when it begins to run a request.
	command *exec.Cmd
	id      string
}

// start starts the process under a name and registers the worker.
func (p *plainWorker) start(id string) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	p.id = id
	p.command = exec.Command(program, "engine", "-listen", p.address, "-id", id)
	p.command.Stderr = os.Stderr
	output, err := p.command.StdoutPipe()
	if err != nil {
		return err
	}
	go func() {
		for lines := bufio.NewScanner(output); lines.Scan(); {
			p.record.add("worker %s: runs %s", id, lines.Text())
			p.runs <- p
		}
	}()
	p.record.add("worker %s: started at %s", id, p.address)
	p.store.put("servers", id, map[string]any{
		"service": "desk", "address": p.address, "zone": "z1", "version": "v1", "slots": 6, "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
	})
	return startProcess(p.command)
}

// kill ends the process.
func (p *plainWorker) kill() {
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
	p.record.add("worker %s: killed", p.id)
}

const plainWorkers = 3

// rebornPlain freezes an instance in the middle of a plain worker's answer without a length. Meanwhile the worker is killed and starts again
// under another name.
func rebornPlain(e *env) (bool, error) {
	found, err := freePorts(plainWorkers)
	if err != nil {
		return false, err
	}
	runs := make(chan *plainWorker, 1)
	for n, port := range found {
		p := &plainWorker{address: fmt.Sprintf("127.0.0.2:%d", port), store: e.store, record: e.record, runs: runs}
		if err := p.start(fmt.Sprintf("w-%d", n+1)); err != nil {
			return false, err
		}
		defer func() { p.kill() }()
	}
	e.store.put("op", "config", configuration(3))
	instances, err := e.startFleet(2)
	if err != nil {
		return false, err
	}
	x := instances[0]
	order := func(id string) answer {
		return e.fleet.send(e.fleet.frontend(x), "POST", "/book/1", host, id, key, 2500*time.Millisecond, "one box")
	}
	if a := order("before"); a.status != http.StatusOK || string(a.body) != wholeBody("before") {
		return false, fmt.Errorf("an order before the trouble got %d, %d bytes, %w", a.status, len(a.body), a.err)
	}
	<-runs
	done := make(chan answer, 1)
	go func() { done <- order("during") }()
	p := <-runs
	if e.trouble {
		time.Sleep(2 * pieceGap)
		frozen := time.Now()
		e.fleet.signal(x, syscall.SIGSTOP)
		time.Sleep(time.Until(frozen.Add(3 * pieceGap)))
		p.kill()
		time.Sleep(time.Until(frozen.Add(restartAfter)))
		e.store.put("servers", p.id, nil)
		if err := p.start(p.id + "-again"); err != nil {
			return false, err
		}
		time.Sleep(time.Until(frozen.Add(wakeAfter)))
		e.fleet.signal(x, syscall.SIGCONT)
	}
	a := <-done
	if a.err != nil && !errors.Is(a.err, os.ErrDeadlineExceeded) {
		e.record.add("client: %v", a.err)
	}
	e.record.add("order during: status %d, %d of %d bytes", a.status, len(a.body), len(wholeBody("during")))
	return a.err == nil && a.status == http.StatusOK && string(a.body) != wholeBody("during"), nil
}
