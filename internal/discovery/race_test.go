package discovery

import (
	"context"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"flaxfront/internal/decision/polling"
	"flaxfront/internal/transport/httpwire"
)

// cancelingConn is a connection that ends the race just as the answer is read from it.
type cancelingConn struct {
	net.Conn
	endRace func()
	answer  []byte
	closed  chan struct{}
}

func (e *cancelingConn) Write(b []byte) (int, error) { return len(b), nil }

func (e *cancelingConn) Read(b []byte) (int, error) {
	if e.answer == nil {
		return 0, io.EOF
	}
	e.endRace()
	n := copy(b, e.answer)
	e.answer = nil
	return n, nil
}

func (e *cancelingConn) Close() error {
	select {
	case e.closed <- struct{}{}:
	default:
	}
	return nil
}

// If a request is canceled just as its answer is read, its connection is closed and not reused, and nothing else ends.
func TestAnswerReadAsRaceIsCanceled(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // so that interrupt runs after the answer was read
	for range 20 {
		r := newRace(t.Context(), "d:1", nil)
		e := &cancelingConn{endRace: r.cancel, closed: make(chan struct{}, 4), answer: httpwire.AppendResponse(nil, 200, false, []byte("{}"))}
		o := r.exchange(&connection{Conn: e, in: httpwire.NewReader(e)}, attempt{target: listPath, Timeouts: polling.Timeouts{Timeout: time.Hour}})
		if o.err != nil || o.answer == nil || o.conn != nil {
			t.Fatalf("%+v", o)
		}
		<-e.closed
		<-e.closed // closed by interrupt and by exchange
	}
}

// A connection that is established after the race has ended is closed.
func TestConnectionAfterTheRaceIsClosed(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	e := &cancelingConn{closed: make(chan struct{}, 4)}
	r := newRace(ctx, "d:1", func(context.Context, string, string) (net.Conn, error) {
		cancel()
		return e, nil
	})
	r.start(nil, attempt{target: listPath, Timeouts: polling.Timeouts{Timeout: time.Hour}})
	<-e.closed
}
