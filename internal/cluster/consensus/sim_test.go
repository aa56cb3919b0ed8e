package consensus

import (
	"flag"
	"fmt"
	"log/slog"
	"maps"
	"os"
	"regexp"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

var (
	seedCount = flag.Uint64("consensus.seeds", 200, "number of seeds to run for each number of voters")
	firstSeed = flag.Uint64("consensus.first", 1, "first seed to run")
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	flag.Parse()
	os.Exit(m.Run())
}

// runSeed runs the simulation of a seed: eight seconds of faults with clients, then all faults are healed. It checks that a leader is
// elected, that all voters catch up, and that the clients' history is linearizable.
func runSeed(seed uint64, size int, m mutant) *world {
	w := newWorld(seed, size, m)
	for range 4 {
		w.startClient()
	}
	w.scheduleFaults()
	w.runUntil(faultPeriod)
	if m != neverHealed {
		w.heal()
	} else {
		w.lossRate = 1
	}
	healedAt := w.now
	w.runUntil(healedAt + 10*election)
	if leaders := w.leaderIDs(); len(leaders) != 1 && w.checks.err == nil {
		w.checks.fail("%v after healing there are %d leaders, want 1", 10*election, len(leaders))
	}
	w.runUntil(healedAt + 10*election + time.Second)
	for _, v := range w.voters {
		if w.checks.err == nil && v.node.AppliedIndex() < w.checks.highestApplied {
			w.checks.fail("at the end voter %d has applied entries up to index %d, want %d", v.id, v.node.AppliedIndex(), w.checks.highestApplied)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(w.ops.pending)) {
		w.ops.close(w.ops.pending[id], output{}, 1<<62)
	}
	if w.checks.err == nil && porcupine.CheckOperationsTimeout(registerModel, w.ops.history, 10*time.Second) != porcupine.Ok {
		w.checks.fail("the history of %d calls is not linearizable", len(w.ops.history))
	}
	return w
}

// startClient starts a client that calls random voters, one call at a time.
func (w *world) startClient() {
	var scheduleCall func()
	scheduleCall = func() {
		w.after(10*ms+w.randomDuration(60*ms), func() {
			if w.now < 10*time.Second {
				w.ops.call(w, w.randomVoter(), w.chance(0.4), scheduleCall)
			}
		})
	}
	scheduleCall()
}

// leaderIDs returns the IDs of the running voters that consider themselves leader.
func (w *world) leaderIDs() (ids []uint64) {
	for _, v := range w.voters {
		if v.up && v.node.IsLeader() {
			ids = append(ids, v.id)
		}
	}
	return ids
}

func TestSimulation(t *testing.T) {
	for _, size := range []int{3, 5} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			written, read, faults, seen := 0, 0, map[string]int{}, map[string]int{}
			for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
				w := runSeed(seed, size, noMutant)
				if w.checks.err != nil {
					t.Fatalf("seed %d: %v", seed, w.checks.err)
				}
				written, read = written+w.ops.written, read+w.ops.read
				for k, n := range w.faults {
					faults[k] += n
				}
				for k, n := range w.seen {
					seen[k] += n
				}
			}
			t.Logf("%d seeds: %d swaps and %d reads answered, faults %v, seen %v", *seedCount, written, read, faults, seen)
			for _, k := range []string{"resigned", "killed in a save", "called after its disk failed", "leader's snapshot"} {
				if seen[k] == 0 {
					t.Errorf("%s: occurred in no seed", k)
				}
			}
			if uint64(written) < 20**seedCount || uint64(read) < 10**seedCount {
				t.Errorf("too few calls were answered for the checks to be meaningful: %d swaps, %d reads", written, read)
			}
		})
	}
}

// Each mutant is found by the check that is meant to find it; other checks may find it too.
func TestSimulationFindsFaults(t *testing.T) {
	for m, c := range map[mutant]struct {
		want string
		from uint64 // first seed; chosen close to a seed that finds the mutant, to keep the test short
	}{
		earlyAck:              {"is not linearizable", 1},
		ignoresFailedSave:     {"applies a different entry|state is inconsistent|has two leaders", 1},
		losesVotes:            {"has two leaders", 540},
		localRead:             {"is not linearizable", 1},
		neverHealed:           {"after healing there are", 1},
		divergentStateMachine: {"has a different state", 1},
	} {
		t.Run(string(m), func(t *testing.T) {
			t.Parallel()
			found, want := map[string]int{}, regexp.MustCompile(c.want)
			for seed := c.from; seed < c.from+2000; seed++ {
				err := runSeed(seed, 3, m).checks.err
				if err != nil && want.MatchString(err.Error()) {
					t.Logf("seed %d: %v; other failures before it: %v", seed, err, found)
					return
				} else if err != nil {
					found[regexp.MustCompile("[0-9]+").ReplaceAllString(err.Error(), "N")]++
				}
			}
			t.Fatalf("the expected check failed in none of 2000 seeds; other failures: %v", found)
		})
	}
}

func TestSameSeedSameWorld(t *testing.T) {
	a, b := runSeed(7, 5, noMutant), runSeed(7, 5, noMutant)
	if fmt.Sprint(a.ops.history) != fmt.Sprint(b.ops.history) || a.seq != b.seq {
		t.Fatal("two runs of one seed differ")
	}
}
