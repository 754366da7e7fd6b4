package proxy

import (
	"bytes"
	"context"
	"time"
)

// relay forwards the complete events of a response to the client until the response ends. It returns errTruncatedEvent
// if the response ends in the middle of an event or an event exceeds maxEventBytes, errNotContinued if the response does not
// continue the stream after the last event, and errEmptyStream or the error of ConfirmEnd if the end of a response without a length
// is not that of the stream.
func (s *activeStream) relay(ctx context.Context, response *Response) error {
	buffer := make([]byte, 0, eventBufferBytes)
	before, joined := s.eventCount.Load(), s.LastEventID == ""
	for {
		if len(buffer) == cap(buffer) {
			if len(buffer) > maxEventBytes {
				return errTruncatedEvent
			}
			grown := make([]byte, len(buffer), 2*cap(buffer))
			copy(grown, buffer)
			buffer = grown
		}
		n, err := response.Body.Read(buffer[len(buffer):cap(buffer)])
		scanned := len(buffer)
		buffer = buffer[:scanned+n]
		if complete := completeEventsLen(buffer, scanned); complete > 0 {
			if !joined {
				var continues bool
				if joined, continues = checkContinuation(buffer[:complete], s.LastEventID); !continues {
					return errNotContinued
				}
			}
			if err := s.forwardEvents(response, buffer[:complete]); err != nil {
				return err
			}
			buffer = buffer[:copy(buffer, buffer[complete:])]
		}
		switch {
		case err == nil:
		case isBodyEnd(err) && len(buffer) == 0 && response.ConfirmEnd != nil && s.eventCount.Load() == before:
			return errEmptyStream
		case isBodyEnd(err) && len(buffer) == 0:
			if err := s.confirmEnd(ctx, response); err != nil {
				return err
			}
			s.sendHeader(response) // A stream without events still has a response header.
			return nil
		case isBodyEnd(err):
			return errTruncatedEvent
		default:
			return err
		}
	}
}

// confirmEnd returns an error if a stream without a length may have ended before its last event: its first target or another one of
// its path has ended.
func (s *activeStream) confirmEnd(ctx context.Context, response *Response) error {
	if response.ConfirmEnd == nil {
		return nil
	}
	for _, stage := range s.currentPath() {
		if s.server.isDead(stage.Target.Name) {
			return errDeadStage
		}
	}
	return response.confirmEnd(ctx)
}

// sendHeader writes the response header, unless it was sent before: a resumed stream keeps the header of its first
// response.
func (s *activeStream) sendHeader(response *Response) {
	if s.headerSent {
		return
	}
	s.headerSent = true
	copyHeader(s.writer.Header(), response.Header)
	s.writer.WriteHeader(response.Status)
}

// forwardEvents writes complete events to the client and records them for the failure detector and a resume.
func (s *activeStream) forwardEvents(response *Response, events []byte) error {
	s.sendHeader(response)
	now := time.Now()
	if s.eventCount.Load() == 0 {
		s.firstEventLatency = now.Sub(s.ReceivedAt)
		s.server.crashTracker.RequestProgressed(s.ID)
	}
	count := s.eventCount.Add(int64(bytes.Count(events, eventTerminator)))
	if s.Tokens.Output > 0 && count > int64(s.Tokens.Output+maxSurplusEvents) {
		return errTooManyEvents
	}
	if id, ok := lastEventID(events); ok {
		s.LastEventID = id
	}
	if bytes.Contains(events, dataField) { // Comments alone do not show that the target produces tokens.
		s.eventReceived(now)
	}
	if _, err := s.writer.Write(events); err != nil {
		return err
	}
	return s.control.Flush()
}
