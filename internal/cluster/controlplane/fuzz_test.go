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

// Whatever comes over a connection ends it or is passed over; it panics nowhere, and takes no more room than its own bytes.
func FuzzTake(f *testing.F) {
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
	for letter, body := range map[byte]any{letterFollow: follow{7}, letterFeed: feed{0, []entry{{1, []byte{1, 2}}}}, letterPiece: piece{9, 4, 0, []byte{1}},
		letterUp:   up{Renewals: []renewal{{1, 2, 3}}, Entries: [][]byte{{1}}, Reports: []report{{1, 2, []byte{3}}}},
		letterDown: down{1, "b", []renewal{{0, 1, 1}}}, letterBeat: beat{Path: []string{"x"}, Token: 1, Echo: 1, Facts: map[string]fact{"t": {[]byte{1}, 2}}},
		letterOther: other{[]string{"x"}}, letterAsk: ask{1, VerbStatus, nil}} {
		f.Add(frame(letter, body), true)
	}
	f.Fuzz(func(t *testing.T, raw []byte, source bool) {
		fl, err := New(Options{Keys: ring, Voters: []Voter{{"v", "v"}}, LeaseDuration: time.Second, MaxFollowers: 1, ReportInterval: time.Second})
		if err != nil {
			t.Fatal(err)
		}
		here, there := net.Pipe()
		defer here.Close()
		defer there.Close()
		c := &conn{nc: here, wake: make(chan struct{}, 1), dialled: source, peer: hello{Role: roleFollower, Name: "o"}}
		fl.came(c)
		fl.upPath = []string{"v"}
		for r := bufio.NewReader(bytes.NewReader(raw)); ; {
			letter, body, err := readFrame(r, maxFrame)
			if err != nil {
				break
			}
			if len(body) > len(raw) {
				t.Fatal("more than came")
			}
			fl.take(c, letter, body)
			fl.step(fl.o.Now())
		}
	})
}
