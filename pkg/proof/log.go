package proof

import (
	"bytes"
	"strings"
	"sync"
)

// logBuffer keeps the log lines of all instances.
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

// LogLines returns the log lines of all instances that hold every one of the texts.
func (w *Harness) LogLines(texts ...string) []string {
	w.log.mu.Lock()
	all := w.log.text.String()
	w.log.mu.Unlock()
	var found []string
	for line := range strings.Lines(all) {
		if holdsAll(line, texts) {
			found = append(found, line)
		}
	}
	return found
}

func holdsAll(line string, texts []string) bool {
	for _, text := range texts {
		if !strings.Contains(line, text) {
			return false
		}
	}
	return true
}
