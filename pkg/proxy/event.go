package proxy

import (
	"bytes"
	"errors"
	"io"
)

var (
	eventTerminator = []byte("\n\n")
	idField         = []byte("id:")
	dataField       = []byte("data:")
)

// completeEventsLen returns the length in bytes of the complete events at the start of b. The first scanned bytes are known
// to contain no end of an event, so that an event that arrives byte by byte is not searched again with each byte.
func completeEventsLen(b []byte, scanned int) int {
	from := max(scanned-len(eventTerminator)+1, 0)
	i := bytes.LastIndex(b[from:], eventTerminator)
	if i < 0 {
		return 0
	}
	return from + i + len(eventTerminator)
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
