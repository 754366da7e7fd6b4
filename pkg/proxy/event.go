package proxy

import (
	"bytes"
	"errors"
	"io"
	"strconv"
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

// checkContinuation reports whether the events at the start of a response continue a stream after the event with the ID last.
// known is false while only comments have come.
func checkContinuation(events []byte, last string) (known, continues bool) {
	for event := range bytes.SplitSeq(events, eventTerminator) {
		if isComment(event) {
			continue
		}
		id, ok := lastEventID(event)
		return true, ok && follows(id, last)
	}
	return false, true
}

// isComment reports whether an event has no fields.
func isComment(event []byte) bool {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// follows reports whether an event ID may come after another one. IDs that are numbers increase.
func follows(id, last string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	before, lastErr := strconv.ParseUint(last, 10, 64)
	if err != nil || lastErr != nil {
		return id != last
	}
	return n > before
}

// isBodyEnd reports whether a read error is the regular end of the body.
func isBodyEnd(err error) bool {
	return errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF)
}
