package z3950_test

// This file tests many sessions while nodes warm up.

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"

	"flaxfront/internal/config/operator"
	"flaxfront/internal/config/terms"
	"flaxfront/internal/decision"
	"flaxfront/internal/decision/routing"
	"flaxfront/internal/lab"
	"flaxfront/internal/lab/archive"
	front "flaxfront/internal/protocols/front/z3950"
	"flaxfront/internal/protocols/query"
	"flaxfront/internal/protocols/z3950"
	"flaxfront/internal/server"
)

// 500 sessions open at once while half of the nodes of each cell are warming up: each search has one answer or is rejected, no node is
// overloaded, and the broker has no query in flight afterwards.
func TestManySessionsWithNodesWarmingUp(t *testing.T) {
	fleet, err := lab.NewFleet(t.TempDir(), 8, 2, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	for i, n := range fleet.Nodes {
		n.MakeValue = func(_ string, _ int, text string) string {
			value, _ := archive.Value([]string{"<r/>"}, text)
			return value
		}
		if i < 4 { // two of the four nodes of each cell
			n.MarkRestarted()
			fleet.List[i].StartedAt = time.Now().UnixMilli()
		}
	}
	fleet.Discovery.SetList(fleet.List)
	if err := fleet.Discovery.Up("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	path, err := fleet.Config("n0", "127.0.0.1:0", fleet.Discovery.Addr(), true)
	if err != nil {
		t.Fatal(err)
	}
	start, err := terms.ReadConfig(path)
	if err != nil {
		t.Fatal(err)
	}
	own := operator.Default()
	own.Z3950.Listen, own.Z3950.Type, own.Z3950.Sessions = "127.0.0.1:0", "report", 1000
	s, err := server.New(start, own, func(t decision.Settings) decision.Router { return routing.New(t) })
	if err == nil {
		err = s.Open()
	}
	if err != nil {
		t.Fatal(err)
	}
	z, err := front.Listen(s, own.Z3950)
	if err != nil {
		t.Fatal(err)
	}
	s.AddFront(z)
	stop, done := make(chan struct{}), make(chan error, 1)
	go func() { done <- s.Run(stop) }()
	_, rpn, _ := query.ParsePQF("cat")
	const sessions = 500
	ends := make(chan string, sessions)
	for range sessions {
		go func() {
			ends <- func() string {
				conn, err := net.Dial("tcp", z.Addr().String())
				if err != nil {
					return err.Error()
				}
				defer conn.Close()
				conn.SetDeadline(time.Now().Add(20 * time.Second))
				in := bufio.NewReader(conn)
				conn.Write(z3950.Encode(&z3950.InitRequest{Version3: true, Search: true, Present: true, PreferredMessageSize: 1 << 20, ExceptionalRecordSize: 1 << 20}))
				if m, err := z3950.Read(in); err != nil {
					return fmt.Sprint(m, err)
				}
				conn.Write(z3950.Encode(&z3950.SearchRequest{LargeSetLowerBound: 1, Replace: true, ResultSet: "a", Databases: []string{"x"}, Query: rpn}))
				m, err := z3950.Read(in)
				r, is := m.(*z3950.SearchResponse)
				switch {
				case err != nil || !is:
					return fmt.Sprint(m, err)
				case r.OK && r.Count == 4, !r.OK && r.ResultSetStatus == z3950.Subset && r.Count >= 2:
					return "answered"
				case r.Records.Fault != nil && (r.Records.Fault.Code == 31 || r.Records.Fault.Code == 2):
					return "rejected"
				}
				return fmt.Sprintf("%+v", r)
			}()
		}()
	}
	seen := map[string]int{}
	for range sessions {
		seen[<-ends]++
	}
	if seen["answered"]+seen["rejected"] != sessions || seen["answered"] < 50 {
		t.Errorf("%v", seen)
	}
	for _, n := range fleet.Nodes {
		if n.HasCrashed() {
			t.Error("a node that was warming up failed from overload")
		}
	}
	if c := s.Counters().Queries; c.Received != sessions || c.InFlight != 0 || c.Received != c.Answered+c.Shed+c.Failed+c.Abandoned {
		t.Errorf("%+v", c)
	}
	t.Logf("%v", seen)
	close(stop)
	if err := <-done; err != nil {
		t.Error(err)
	}
}
