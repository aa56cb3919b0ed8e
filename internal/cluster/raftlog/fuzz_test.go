package raftlog

import (
	"testing"

	"flaxfront/internal/filesystem/crashfs"
)

// For any file content, Open succeeds or returns an error with a remedy. A log that was opened has the same content when opened again.
func FuzzOpen(f *testing.F) {
	d := crashfs.New(1)
	l, err := Open(testOptions(d))
	if err != nil {
		f.Fatal(err)
	}
	for _, r := range saves[:5] {
		l.Save(r.hardState, r.entries, r.snapshot)
	}
	whole := d.Bytes("d/raft-00000001.log")
	f.Add(whole)
	f.Add(whole[:len(whole)-9])
	f.Fuzz(func(t *testing.T, b []byte) {
		d := crashfs.New(1)
		file, _ := d.Create("d/raft-00000001.log")
		file.Write(b)
		l, err := Open(testOptions(d))
		if err != nil {
			if _, ok := err.(interface{ Remedy() string }); !ok {
				t.Fatalf("%T: %v", err, err)
			}
			return
		}
		was := stateText(l)
		again, err := Open(testOptions(d))
		if err != nil || stateText(again) != was {
			t.Fatal(err)
		}
	})
}
