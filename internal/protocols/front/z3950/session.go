package z3950

// This file runs one session, from its first message to the end of its connection.

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"flaxfront/internal/protocols/z3950"
	"flaxfront/internal/transport/clientconn"
)

// serve runs a session: init, then one operation after the other. It returns the reason of its end for the log. Requests that a client
// sends without waiting are answered in order, each with its reference ID.
func (s *session) serve(ctx context.Context) (reason string) {
	for {
		s.release()
		timeout := s.f.o.Idle
		if s.operations == 0 {
			timeout = initTimeout
		}
		deadline := time.Now().Add(timeout)
		s.SetReadDeadline(deadline)
		if why := s.f.connections.BecomeIdle(s.state); why != clientconn.StillOpen {
			return s.end(why)
		}
		_, err := s.reader.Peek(1)
		why := s.f.connections.StartReading(s.state)
		var m z3950.Message
		if err == nil {
			if s.operations > 0 {
				deadline = time.Now().Add(messageTimeout)
			}
			s.SetReadDeadline(deadline) // after StartReading: if the session was ended as idle just before, the message is still read
			m, err = z3950.ReadRequestWithin(s.reader, s.reserve)
		}
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded) && why != clientconn.StillOpen:
			return s.end(why)
		case errors.Is(err, os.ErrDeadlineExceeded):
			s.write(&z3950.Close{Reason: 7, Text: "nothing whole came in time"})
			return "idle"
		case errors.Is(err, net.ErrClosed):
			return "shutdown"
		case errors.Is(err, io.EOF):
			return "client_closed"
		case errors.Is(err, z3950.ErrNoMemory):
			s.write(&z3950.Close{Reason: 4, Text: errorText(err)})
			return "no_memory"
		case errors.Is(err, z3950.ErrProtocol):
			s.write(&z3950.Close{Reason: 6, Text: errorText(err)})
			return "bad_message"
		case err != nil:
			return "client_reset"
		}
		s.f.connections.StartAnswering(s.state)
		var answer z3950.Message
		_, isInit := m.(*z3950.InitRequest)
		switch {
		case isInit != (s.operations == 0):
			s.write(&z3950.Close{Reason: 6, Text: "init comes first, and once"})
			return "bad_message"
		default:
			if answer, err = s.handle(ctx, m); err != nil {
				return "client_left"
			}
		}
		s.operations++
		if answer == nil {
			return "closed"
		}
		if err := s.write(answer); err != nil {
			return "write_failed"
		}
		if x, is := answer.(*z3950.Close); is {
			return fmt.Sprintf("closed_%d", x.Reason)
		}
		if x, is := answer.(*z3950.InitResponse); is && !x.Accepted {
			return "not_accepted"
		}
		s.pause(answer)
	}
}

// pause waits until the session may have its next message read, after an answer that the broker has given without nodes.
func (s *session) pause(answer z3950.Message) {
	if search, is := answer.(*z3950.SearchResponse); is && search.OK {
		return
	}
	if wait := s.f.pacing.Answered(&s.pace, time.Now()); wait > 0 {
		s.ahead.WatchFor(wait)
	}
}

// reserve reserves memory for the message that is being read.
func (s *session) reserve(bytes int) bool { return s.request.TryGrow(bytes) }

// release gives back the memory of the last message and its answer.
func (s *session) release() {
	s.request.Close()
	s.response.Close()
}

// end tells the client why the broker ends its idle session, and returns the reason.
func (s *session) end(why clientconn.Reason) string {
	message := &z3950.Close{Reason: 1, Text: "the broker stops"}
	if why == clientconn.Reclaimed {
		message = &z3950.Close{Reason: 7, Text: "the session idled, and another client needs its place"}
	}
	s.write(message)
	return string(why)
}

func errorText(err error) string {
	t := err.Error()
	return t[:min(len(t), 200)]
}

func (s *session) write(m z3950.Message) error {
	s.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := s.Write(z3950.Encode(m))
	return err
}

// handle returns the answer to a message, or nil if the session is over.
func (s *session) handle(ctx context.Context, m z3950.Message) (z3950.Message, error) {
	switch m := m.(type) {
	case *z3950.InitRequest:
		s.messageSize, s.recordSize = clampMessageSize(m.PreferredMessageSize), clampMessageSize(m.ExceptionalRecordSize)
		return &z3950.InitResponse{InitRequest: z3950.InitRequest{Common: m.Common, Version3: m.Version3, Search: true, Present: true,
			Delete: m.Delete, NamedResultSets: m.NamedResultSets, PreferredMessageSize: s.messageSize, ExceptionalRecordSize: s.recordSize, ImplementationID: "flaxfront", ImplementationName: "flaxfront"},
			Accepted: true}, nil
	case *z3950.SearchRequest:
		return s.search(ctx, m)
	case *z3950.PresentRequest:
		return s.present(ctx, m)
	case *z3950.DeleteRequest:
		return s.deleteSets(m), nil
	case *z3950.Close:
		s.write(&z3950.Close{Common: m.Common})
		return nil, nil
	}
	return &z3950.Close{Reason: 6, Text: "a client asks, it does not answer"}, nil
}

func clampMessageSize(n int) int { return max(minMessageBytes, min(n, z3950.MaxPDU)) }
