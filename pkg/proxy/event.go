package proxy

import (
	"bytes"
	"errors"
	"io"
)

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// wholeEvents returns the length of the whole events at the start of the bytes.
func wholeEvents(b []byte) int {
	i := bytes.LastIndex(b, eventEnd)
	if i < 0 {
		return 0
	}
	return i + len(eventEnd)
}

// lastEventID returns the ID of the last event that has one.
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

// isEnd reports whether a read ended with the whole body.
func isEnd(err error) bool {
	return errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF)
}
