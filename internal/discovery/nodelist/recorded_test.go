package nodelist

import (
	"bytes"
	"maps"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"

	"flaxfront/internal/decision/cachedlist"
	"flaxfront/internal/filesystem"
)

// testdata/recorded holds directories as commit 1a4b6be wrote them: whole; torn, without the last 3 bytes of the newest journal; and
// damaged, with one bit of the newest snapshot flipped.
const (
	recordedDeployment = "fingerprint"
	recordedRequest    = "asks/1700000400000000005.ask"
)

var (
	recordedReady = cachedlist.Entry{Name: "node-a", Address: netip.MustParseAddrPort("192.0.2.1:8080"), Zone: "east",
		StartedAt: 1_700_000_000_123, ConfirmedAt: 1_700_000_100_000, StateSince: 1_700_000_090_000, Generation: 17}
	recordedDraining = cachedlist.Entry{Name: "node-b", Address: netip.MustParseAddrPort("[2001:db8::2]:8080"), Zone: "west", Cell: 3,
		State: cachedlist.Draining, ConfirmedAt: 1_700_000_200_000, ConfirmedBy: cachedlist.SourceEndpoint, StateSince: 1_700_000_190_000, Generation: 18}
	recordedReturned = cachedlist.Entry{Name: "node-b", Address: netip.MustParseAddrPort("[2001:db8::2]:8080"), Zone: "west", Cell: 3,
		ConfirmedAt: 1_700_000_200_000, ConfirmedBy: cachedlist.SourceEndpoint, StateSince: 1_700_000_190_000, Generation: 21}
	recordedEnded = cachedlist.Entry{Name: "node-c", Cell: 1, State: cachedlist.Ended, ConfirmedBy: cachedlist.SourceOperator,
		StateSince: 1_700_000_300_000, Generation: 12}
	recordedConfigured = cachedlist.Entry{Name: "node-d", Address: netip.MustParseAddrPort("192.0.2.4:9090"), Zone: "east", Cell: 1 << 20,
		ConfirmedBy: cachedlist.SourceConfiguration}
)

func recordedHead(generation uint64) cachedlist.Head {
	return cachedlist.Head{Service: "192.0.2.9:7000", Deployment: recordedDeployment, Generation: generation,
		ConfirmedAt: cachedlist.Timestamp(1_700_000_000_000 + generation)}
}

func entriesByName(all ...cachedlist.Entry) map[string]cachedlist.Entry {
	m := map[string]cachedlist.Entry{}
	for _, e := range all {
		m[e.Name] = e
	}
	return m
}

func TestRecordedListIsRead(t *testing.T) {
	for _, c := range []struct {
		name    string
		head    cachedlist.Head
		entries map[string]cachedlist.Entry
		faults  []string
	}{
		{"whole", recordedHead(24), entriesByName(recordedReturned, recordedConfigured), nil},
		{"torn", recordedHead(23), entriesByName(recordedReady, recordedReturned, recordedConfigured), []string{"list-00000002.log"}},
		{"damaged", recordedHead(22), entriesByName(recordedReady, recordedReturned), []string{"list-00000002.snap"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			content, err := Read(filesystem.Local{}, filepath.Join("testdata", "recorded", c.name), recordedDeployment)
			if err != nil || !content.Found || content.Head != c.head || !maps.Equal(content.Entries, c.entries) {
				t.Errorf("read %+v, error %v, want %+v, %+v", content, err, c.head, c.entries)
			}
			var faults []string
			for _, f := range content.FileErrors {
				faults = append(faults, f.File)
			}
			if !slices.Equal(faults, c.faults) {
				t.Errorf("faults %v, want %v", faults, c.faults)
			}
		})
	}
}

func TestRecordedRequestIsRead(t *testing.T) {
	got, err := readRequest(filesystem.Local{}, filepath.Join("testdata", "recorded", "whole", recordedRequest), recordedDeployment)
	want := OperatorRequest{Import: []cachedlist.Entry{recordedReady, recordedEnded}, Forget: []string{"node-d", "node-x"}}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v, error %v, want %+v", got, err, want)
	}
}

// The same changes are written as the same bytes as in the recorded directory.
func TestRecordedListIsWritten(t *testing.T) {
	dir := t.TempDir()
	runs := [][]cachedlist.Changes{
		{
			{Head: recordedHead(20), Put: []cachedlist.Entry{recordedReady, recordedDraining, recordedEnded}},
			{Head: recordedHead(21), Put: []cachedlist.Entry{recordedReturned}},
			{Head: recordedHead(22), Removed: []string{"node-c"}},
		},
		{
			{Head: recordedHead(23), Put: []cachedlist.Entry{recordedConfigured}},
			{Head: recordedHead(24), Removed: []string{"node-a"}},
		},
	}
	for _, run := range runs {
		s, _ := Open(Options{Directory: dir, Deployment: recordedDeployment})
		for _, c := range run {
			s.Enqueue(c)
			if err := s.Flush(); err != nil {
				t.Fatal(err)
			}
		}
		s.Close()
	}
	request := OperatorRequest{Import: []cachedlist.Entry{recordedReady, recordedEnded}, Forget: []string{"node-d", "node-x"}}
	if err := SubmitRequest(filesystem.Local{}, dir, recordedDeployment, request, time.Unix(1_700_000_400, 5)); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{snapshotName(1), journalName(1), snapshotName(2), journalName(2), recordedRequest} {
		want, err := os.ReadFile(filepath.Join("testdata", "recorded", "whole", name))
		if err != nil {
			t.Fatal(err)
		}
		if got, err := os.ReadFile(filepath.Join(dir, name)); err != nil || !bytes.Equal(got, want) {
			t.Errorf("%s: wrote %x, error %v, want %x", name, got, err, want)
		}
	}
}
