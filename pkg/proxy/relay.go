package proxy

import (
	"bytes"
	"time"
)

// relay passes events on until the stream ends. Only whole events are passed on.
func (s *session) relay(a *Response) error {
	buffer := make([]byte, 0, eventBuffer)
	for {
		if len(buffer) == cap(buffer) {
			if len(buffer) > maxEvent {
				return errIncomplete
			}
			grown := make([]byte, len(buffer), 2*cap(buffer))
			copy(grown, buffer)
			buffer = grown
		}
		n, err := a.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if whole := wholeEvents(buffer); whole > 0 {
			if err := s.forward(a, buffer[:whole]); err != nil {
				return err
			}
			buffer = buffer[:copy(buffer, buffer[whole:])]
		}
		switch {
		case err == nil:
		case isEnd(err) && len(buffer) == 0:
			s.begin(a) // A stream without events has an answer as well.
			return nil
		case isEnd(err):
			return errIncomplete
		default:
			return err
		}
	}
}

// begin writes the head of the answer: the first target's, also if others go on.
func (s *session) begin(a *Response) {
	if s.begun {
		return
	}
	s.begun = true
	copyHeader(s.writer.Header(), a.Header)
	s.writer.WriteHeader(a.Status)
}

// forward writes whole events to the caller.
func (s *session) forward(a *Response, events []byte) error {
	s.begin(a)
	now := time.Now()
	if s.events == 0 {
		s.first = now.Sub(s.ReceivedAt)
		s.server.ledger.RequestProgressed(s.ID)
	}
	s.events += bytes.Count(events, eventEnd)
	if id, ok := lastEventID(events); ok {
		s.LastEventID = id
	}
	s.progress(now)
	if _, err := s.writer.Write(events); err != nil {
		return err
	}
	return s.control.Flush()
}
