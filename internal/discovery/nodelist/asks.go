package nodelist

// This file owns what operators ask of a broker that runs: a file each in the directory "asks", renamed into place by
// the command and taken by the broker within a second. What is asked may be done twice without harm.

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"flaxfront/internal/decision/cachedlist"
)

const (
	asksDir  = "asks"
	asksMost = 64 // that wait; more are refused
)

// OperatorRequest is what an operator asks.
type OperatorRequest struct {
	Import []cachedlist.Entry
	Forget []string
}

type diskAsk struct {
	Import []diskEntry `cbor:"1,keyasint,omitempty"`
	Forget []string    `cbor:"2,keyasint,omitempty"`
}

// SubmitRequest leaves an ask for the broker that writes in a directory.
func SubmitRequest(disk FS, dir, deployment string, a OperatorRequest, now time.Time) error {
	d := diskAsk{Forget: a.Forget}
	for _, e := range a.Import {
		d.Import = append(d.Import, diskEntry(e))
	}
	b, err := appendFrame([]byte(magic), opening{Version: version, Deployment: deployment})
	if err == nil {
		b, err = appendFrame(b, d)
	}
	if err != nil {
		return err
	}
	dir = filepath.Join(dir, asksDir)
	if err := disk.MkdirAll(dir); err != nil {
		return err
	}
	if names, _ := disk.ReadDir(dir); len(names) >= asksMost {
		return fmt.Errorf("%d asks wait in %s; does the broker run?", len(names), dir)
	}
	name := filepath.Join(dir, fmt.Sprintf("%d", now.UnixNano()))
	s := &Store{disk: disk}
	f, err := s.create(name+".new", b)
	if err != nil {
		return err
	}
	f.Close()
	return disk.Rename(name+".new", name+".ask")
}

// takeAsks hands on what waits, oldest first.
func (s *Store) takeAsks(deliver func(OperatorRequest)) {
	dir := filepath.Join(s.opts.Directory, asksDir)
	names, err := s.disk.ReadDir(dir)
	if err != nil {
		return // nobody asked yet
	}
	slices.Sort(names)
	for _, name := range names {
		if !strings.HasSuffix(name, ".ask") {
			continue
		}
		path := filepath.Join(dir, name)
		a, err := readAsk(s.disk, path, s.opts.Deployment)
		if err != nil {
			slog.Warn("an operator's ask was not taken", "file", path, "error", err)
		} else {
			deliver(a)
		}
		if err := s.disk.Remove(path); err != nil {
			slog.Warn("an operator's ask could not be removed", "file", path, "error", err)
		}
	}
}

func readAsk(disk FS, path, deployment string) (a OperatorRequest, err error) {
	f, err := disk.Open(path)
	if err != nil {
		return a, err
	}
	defer f.Close()
	r := &reader{in: bufio.NewReader(f)}
	if _, err := r.open(deployment); err != nil {
		return a, err
	}
	var d diskAsk
	if err := r.next(&d); errors.Is(err, io.EOF) {
		return a, errTorn
	} else if err != nil {
		return a, err
	}
	a.Forget = d.Forget
	for i := range d.Import {
		if err := d.Import[i].check(); err != nil {
			return a, err
		}
		a.Import = append(a.Import, cachedlist.Entry(d.Import[i]))
	}
	return a, nil
}
