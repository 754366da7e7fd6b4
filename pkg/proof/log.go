package proof

import (
	"bytes"
	"strings"
	"sync"
)

// logBuffer collects the log lines of all instances.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (l *logBuffer) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

// LogLines returns the log lines of all instances that contain all of the substrings.
func (h *Harness) LogLines(substrings ...string) []string {
	h.log.mu.Lock()
	all := h.log.text.String()
	h.log.mu.Unlock()
	var matching []string
	for line := range strings.Lines(all) {
		if containsAll(line, substrings) {
			matching = append(matching, line)
		}
	}
	return matching
}

func containsAll(line string, substrings []string) bool {
	for _, substring := range substrings {
		if !strings.Contains(line, substring) {
			return false
		}
	}
	return true
}
