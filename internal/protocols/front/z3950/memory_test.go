package z3950

import (
	"strings"
	"testing"
	"time"

	"flaxfront/internal/lab/archive"
	"flaxfront/internal/protocols/z3950"
	"flaxfront/internal/server"
	"flaxfront/internal/transport/membudget"
)

const testBudget = 64 << 10

// limitedBroker is a broker whose fronts have little memory.
type limitedBroker struct {
	*archive.Broker
	memory server.FrontMemory
}

func (b *limitedBroker) FrontMemory() server.FrontMemory { return b.memory }

func newLimitedBroker() *limitedBroker {
	return &limitedBroker{archive.New(archive.TextRecord), server.FrontMemory{
		Requests: membudget.New("requests", testBudget),
		Answers:  membudget.New("answers", testBudget),
	}}
}

func (b *limitedBroker) givenBack() bool {
	return b.memory.Requests.Counters().Used == 0 && b.memory.Answers.Counters().Used == 0
}

func TestMessageWithoutMemoryEndsItsSession(t *testing.T) {
	b := newLimitedBroker()
	f := startFront(t, b, testOptions())
	c := dial(t, f, defaultInit)
	c.Write(append([]byte{0xb6, 0x83, 0x03, 0, 0}, make([]byte, testBudget)...)) // a search request of 192 KiB
	if m, is := c.receive().(*z3950.Close); !is || m.Reason != 4 {
		t.Errorf("%+v", m)
	}
	waitUntil(t, b.givenBack)
	if m, is := dial(t, f, defaultInit).exchange(searchRequest(t, "a", "cat")).(*z3950.SearchResponse); !is || !m.OK {
		t.Errorf("another session's search after that: %+v", m)
	}
	waitUntil(t, b.givenBack)
}

func TestRecordsWithoutMemoryAreADiagnostic(t *testing.T) {
	b := newLimitedBroker()
	f := startFront(t, b, testOptions())
	c := dial(t, f, defaultInit)
	c.exchange(searchRequest(t, "a", "cat"))
	var others membudget.Account
	others.Open(b.memory.Answers, 0)
	others.TryGrow(testBudget)
	present := &z3950.PresentRequest{ResultSet: "a", Start: 1, Want: 1}
	m, is := c.exchange(present).(*z3950.PresentResponse)
	if !is || m.Records.Fault == nil || m.Records.Fault.Code != resourcesExhausted {
		t.Errorf("%+v", m)
	}
	others.Close()
	if m, is := c.exchange(present).(*z3950.PresentResponse); !is || len(m.Records.All) != 1 {
		t.Errorf("once there is memory: %+v", m)
	}
	c.Close()
	waitUntil(t, func() bool { time.Sleep(time.Millisecond); return b.givenBack() })
}

// Guards against result sets of new sessions, each with one of its own, being kept beyond the limit on their bytes.
func TestSetsOfNewSessionsAreBounded(t *testing.T) {
	const limit, sessions = 1 << 20, 60
	o := testOptions()
	o.Bytes, o.Sessions, o.Depth = limit, sessions, 10
	f := startFront(t, archive.New(func(int, int) string { return strings.Repeat("d", 6000) }), o)
	for i := range sessions {
		c := dial(t, f, defaultInit)
		if r, is := c.exchange(searchRequest(t, "a", "cat")).(*z3950.SearchResponse); !is || !r.OK {
			t.Fatalf("session %d: %+v", i, r)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if counts := f.resultSets.Counts; counts.Bytes > limit || counts.Kept == 0 || counts.Created != sessions {
		t.Errorf("with %d sessions, of a limit of %d bytes: %+v", sessions, limit, counts)
	}
}
