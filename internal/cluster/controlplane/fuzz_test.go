package controlplane

import (
	"bufio"
	"bytes"
	"net"
	"path/filepath"
	"testing"
	"time"

	"flaxfront/internal/transport/keys"
)

// FuzzHandleFrame checks that no input from a connection causes a panic, or a frame's body longer than the input.
func FuzzHandleFrame(f *testing.F) {
	dir := f.TempDir()
	if err := keys.NewAuthority(filepath.Join(dir, "ca"), "t", time.Hour, time.Now()); err != nil {
		f.Fatal(err)
	}
	if _, err := keys.Issue(filepath.Join(dir, "ca"), dir, keys.ID{Site: "s", Broker: "b"}, time.Hour, time.Now()); err != nil {
		f.Fatal(err)
	}
	ring, err := keys.Open(dir)
	if err != nil {
		f.Fatal(err)
	}
	for kind, body := range map[byte]any{frameFollow: followFrame{7}, frameFeed: feedFrame{0, []feedEntry{{1, []byte{1, 2}}}}, frameSnapshotPiece: snapshotPiece{9, 4, 0, []byte{1}},
		frameUpstream: upstreamFrame{Renewals: []leaseRenewal{{1, 2, 3}}, Entries: [][]byte{{1}}, Reports: []reportFrame{{1, 2, []byte{3}}}},
		frameGrants:   grantsFrame{1, "b", []leaseRenewal{{0, 1, 1}}}, frameHeartbeat: heartbeatFrame{Path: []string{"x"}, Token: 1, Echo: 1, Topics: map[string]topicData{"t": {[]byte{1}, 2}}},
		frameRedirect: redirectFrame{[]string{"x"}}, frameRequest: requestFrame{1, VerbStatus, nil}} {
		f.Add(encodeFrame(kind, body), true)
	}
	f.Fuzz(func(t *testing.T, raw []byte, source bool) {
		p, err := New(Options{Keys: ring, Voters: []Voter{{"v", "v"}}, LeaseDuration: time.Second, MaxFollowers: 1, ReportInterval: time.Second})
		if err != nil {
			t.Fatal(err)
		}
		here, there := net.Pipe()
		defer here.Close()
		defer there.Close()
		c := &conn{netConn: here, writerSignal: make(chan struct{}, 1), dialled: source, peer: helloFrame{Role: roleFollower, Name: "o"}}
		p.addConn(c)
		p.sourcePath = []string{"v"}
		for r := bufio.NewReader(bytes.NewReader(raw)); ; {
			kind, body, err := readFrame(r, maxFrameBytes)
			if err != nil {
				break
			}
			if len(body) > len(raw) {
				t.Fatal("the body is longer than the input")
			}
			p.handleFrame(c, kind, body)
			p.step(p.options.Now())
		}
	})
}
