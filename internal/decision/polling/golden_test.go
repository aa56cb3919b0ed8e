package polling

import (
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"
)

var record = flag.Bool("record", false, "write the golden file instead of comparing with it")

// runSequence makes a pseudo-random sequence of calls to a Jitter and a Backoff, and returns a digest of the results.
func runSequence(seed uint64) uint64 {
	rnd := rand.New(rand.NewPCG(seed, 11))
	digest := fnv.New64a()
	print := func(values ...any) { fmt.Fprintln(digest, values...) }
	span := func(below time.Duration) time.Duration { return time.Duration(rnd.Int64N(int64(below))) }
	jitter := Jitter(func(below time.Duration) time.Duration {
		print("below", int64(below))
		return span(below)
	})
	backoff := NewBackoff(BackoffSettings{ConnectInterval: 1 + span(time.Second), PollCost: span(5 * time.Millisecond), MaxPollDelay: span(time.Second), BrokerCount: rnd.IntN(300)},
		rnd.Uint64())
	for range 100 {
		switch rnd.IntN(9) {
		case 0:
			p := jitter.WatchTimeouts([]time.Duration{0, 1, span(time.Second), span(10 * time.Second), time.Minute}[rnd.IntN(5)])
			print("watch", int64(p.WatchTime), int64(p.HedgeDelay), int64(p.Timeout))
		case 1:
			p := jitter.PollTimeouts()
			print("look", int64(p.WatchTime), int64(p.HedgeDelay), int64(p.Timeout))
		case 2, 3, 4:
			f := Failure{ConnectionLost: rnd.IntN(4) == 0, LocalAgent: rnd.IntN(4) == 0, SinceAddressChange: span(8 * time.Second), Duration: span(time.Second)}
			if rnd.IntN(10) == 0 {
				f.SinceAddressChange = MaxNotificationDelayAfterAddressChange
			}
			delay, retry := jitter.RetryDelay(f)
			print("again", int64(delay), retry)
		case 5:
			print("knock", int64(backoff.ConnectDelay()))
		case 6:
			print("door", int64(backoff.FirstPollDelay()))
		case 7:
			print("jammed", int64(backoff.PollFailed()))
		case 8:
			if rnd.IntN(4) == 0 {
				backoff.PollSucceeded()
			}
		}
		print("limit", int64(backoff.PollTimeout()))
	}
	print(int64(MaxNotificationDelay), int64(MaxNotificationDelayAfterWatch), int64(MaxNotificationDelayAfterAddressChange), int64(MaxWatchTime), int64(AgentRetryInterval))
	return digest.Sum64()
}

// compareWithGolden compares the digests of a number of sequences with those of commit 1a4b6be, which the file holds.
func compareWithGolden(t *testing.T, file string, sequences uint64, run func(seed uint64) uint64) {
	t.Helper()
	var lines []string
	for seed := range sequences {
		lines = append(lines, fmt.Sprintf("%d %016x", seed, run(seed)))
	}
	text := strings.Join(lines, "\n") + "\n"
	if *record {
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for i, line := range strings.Split(string(want), "\n") {
		if i < len(lines) && lines[i] != line {
			t.Fatalf("sequence and digest %q, recorded as %q", lines[i], line)
		}
	}
	if string(want) != text {
		t.Error("the golden file holds another number of sequences")
	}
}

func TestSequencesAreAsRecorded(t *testing.T) {
	compareWithGolden(t, "testdata/sequences.golden", 500, runSequence)
}
