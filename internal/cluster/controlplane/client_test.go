package controlplane

import (
	"context"
	"errors"
	"net"
	"path/filepath"
	"testing"
	"time"

	"flaxfront/internal/cluster/raftlog"
	"flaxfront/internal/decision"
	"flaxfront/internal/decision/statemachine"
	"flaxfront/internal/transport/keys"
)

// TestSendRequest sends operators' requests over real sockets. The leader answers them even if an unreachable voter is listed first, rejects
// an invalid one with a remedy, and does not answer an operator of another site.
func TestSendRequest(t *testing.T) {
	dir := t.TempDir()
	issueKeyring := func(site, name string) *keys.Keyring {
		d := filepath.Join(dir, site+name)
		if _, err := keys.Issue(filepath.Join(dir, "ca"), d, keys.ID{Site: site, Broker: name}, time.Hour, time.Now()); err != nil {
			t.Fatal(err)
		}
		r, err := keys.Open(d)
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	if err := keys.NewAuthority(filepath.Join(dir, "ca"), "t", time.Hour, time.Now()); err != nil {
		t.Fatal(err)
	}
	disk, err := raftlog.Open(raftlog.Options{Directory: filepath.Join(dir, "log"), Cluster: "s", VoterID: 1, Voters: []uint64{1}, Create: true})
	if err != nil {
		t.Fatal(err)
	}
	defer disk.Close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	participant, err := New(Options{Keys: issueKeyring("s", "b1"), Voters: []Voter{{"b1", ln.Addr().String()}}, Listener: ln, ListenAddr: ln.Addr().String(), Storage: disk,
		Slot: 1, Incarnation: 1, Version: "1", LeaseDuration: time.Second, MaxClockDrift: 0.01, ElectionTimeout: 60 * time.Millisecond, HeartbeatInterval: 10 * time.Millisecond,
		MaxFollowers: 2, ReportInterval: time.Second, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	participant.SetNodeNames(func(text string) (decision.NodeID, bool) { return decision.NodeID{}, false }, decision.NodeID.String)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		participant.Run(ctx)
	}()
	defer func() { cancel(); <-ended }()
	participant.SetServing()
	unreachable := Voter{"b0", "127.0.0.1:1"}
	voters := []Voter{unreachable, {"b1", ln.Addr().String()}}
	within, stop := context.WithTimeout(ctx, time.Minute)
	defer stop()
	var s Status
	for len(s.Brokers) == 0 || s.Brokers[0].Status != statemachine.BrokerServing {
		if err := SendRequest(within, issueKeyring("s", "operator"), voters, VerbStatus, &Request{}, &s); err != nil {
			t.Fatal(err)
		}
	}
	var rejected *RejectedError
	if err := SendRequest(within, issueKeyring("s", "operator"), voters, VerbDrain, &Request{Node: "x"}, nil); !errors.As(err, &rejected) || rejected.Remedy() == "" {
		t.Errorf("drain of an unknown node: got %v, want a *RejectedError with a remedy", err)
	}
	var number uint64
	if err := SendRequest(within, issueKeyring("s", "operator"), voters, VerbRelease, &Request{Plan: &ReleaseRequest{To: "2"}}, &number); err != nil || number == 0 {
		t.Errorf("start of a release: number %d, error %v", number, err)
	}
	if err := SendRequest(within, issueKeyring("s", "operator"), voters, VerbHalt, &Request{Reason: "enough"}, nil); err != nil {
		t.Error(err)
	}
	if err := SendRequest(within, issueKeyring("s", "operator"), voters, VerbStatus, &Request{}, &s); err != nil || s.Release == nil || s.Release.State != statemachine.ReleaseHalted {
		t.Errorf("after halt: release %+v, error %v", s.Release, err)
	}
	brief, stop2 := context.WithTimeout(ctx, 300*time.Millisecond)
	defer stop2()
	if err := SendRequest(brief, issueKeyring("other", "operator"), voters[1:], VerbStatus, &Request{}, &s); !errors.As(err, new(*NotLeaderError)) {
		t.Errorf("operator of another site: got %v, want a *NotLeaderError", err)
	}
}
