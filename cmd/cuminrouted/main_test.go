package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// argumentsVariable holds the arguments with which the test binary runs an instance instead of the tests.
const argumentsVariable = "CUMINROUTED_TEST_ARGUMENTS"

func TestMain(m *testing.M) {
	if arguments := os.Getenv(argumentsVariable); arguments != "" {
		os.Exit(run(strings.Fields(arguments)))
	}
	os.Exit(m.Run())
}

// TestHangupDuringStart guards against a SIGHUP that ends a process which has not finished its start.
func TestHangupDuringStart(t *testing.T) {
	for _, test := range []struct {
		name, arguments string
		status          int
	}{
		{"platform", platformCommand, exitFailure},
		{"own settings", "-config FILE", exitUsage},
	} {
		t.Run(test.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "settings")
			qt.Assert(t, syscall.Mkfifo(file, 0o600), qt.IsNil)
			c := exec.CommandContext(t.Context(), os.Args[0])
			c.Env = append(os.Environ(), argumentsVariable+"="+strings.ReplaceAll(test.arguments, "FILE", file), "CUMINROUTE_BOOT="+file)
			qt.Assert(t, c.Start(), qt.IsNil)
			settings := openForWriting(t, file) // The process reads its settings now, and waits for their content.
			qt.Assert(t, c.Process.Signal(syscall.SIGHUP), qt.IsNil)
			_, _ = settings.WriteString("]")
			qt.Assert(t, settings.Close(), qt.IsNil)
			_ = c.Wait()
			qt.Assert(t, c.ProcessState.ExitCode(), qt.Equals, test.status, qt.Commentf("%v", c.ProcessState))
		})
	}
}

// openForWriting opens a pipe as soon as another process reads from it.
func openForWriting(t *testing.T, name string) *os.File {
	const timeout = 20 * time.Second
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		file, err := os.OpenFile(name, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		if err == nil {
			return file
		}
		qt.Assert(t, errors.Is(err, syscall.ENXIO), qt.IsTrue, qt.Commentf("%v", err))
	}
	t.Fatalf("no process reads from %s after %v", name, timeout)
	return nil
}
