package proxy

import (
	"bytes"
	"errors"
	"io"
)

var (
	eventTerminator = []byte("\n\n")
	idField         = []byte("id:")
)

// completeEventsLen returns the length in bytes of the complete events at the start of b.
func completeEventsLen(b []byte) int {
	i := bytes.LastIndex(b, eventTerminator)
	if i < 0 {
		return 0
	}
	return i + len(eventTerminator)
}

// lastEventID returns the ID of the last of the events that has an ID.
func lastEventID(events []byte) (string, bool) {
	for end := len(events); end > 0; {
		start := bytes.LastIndexByte(events[:end], '\n')
		line := events[start+1 : end]
		if id, ok := bytes.CutPrefix(line, idField); ok {
			return string(bytes.TrimSpace(id)), true
		}
		end = max(start, 0)
	}
	return "", false
}

// isBodyEnd reports whether a read error is the regular end of the body.
func isBodyEnd(err error) bool {
	return errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF)
}
