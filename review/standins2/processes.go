//go:build review2

package main

import (
	"os"
	"os/exec"
	"os/signal"
	"sync"
	"syscall"
)

// processes holds the processes that were started, so that a script that is ended before its time leaves none behind.
var processes struct {
	mu   sync.Mutex
	list []*os.Process
}

// startProcess starts a command and remembers its process.
func startProcess(c *exec.Cmd) error {
	processes.mu.Lock()
	defer processes.mu.Unlock()
	err := c.Start()
	if err == nil {
		processes.list = append(processes.list, c.Process)
	}
	return err
}

// endOnSignal ends all processes and this one when a signal to end arrives.
func endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		processes.mu.Lock()
		for _, p := range processes.list {
			_ = p.Kill() // It fails if the process has ended.
		}
		os.Exit(notRun)
	}()
}
