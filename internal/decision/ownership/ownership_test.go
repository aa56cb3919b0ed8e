package ownership_test

import (
	"fmt"
	"testing"
	"time"

	"flaxfront/internal/decision/membership"
	"flaxfront/internal/decision/ownership"
	"flaxfront/internal/lab/crew"
)

var testJobs = []ownership.Job{{Name: "list", Period: 2 * time.Second}, {Name: "records", Period: 5 * time.Second}, {Name: "probes", Period: 10 * time.Second}}

func newTier(seed uint64, brokers int, loss float64) *crew.Cluster {
	return crew.New(crew.Options{Brokers: brokers, Seed: seed, Loss: loss, Delay: 2 * time.Millisecond, Duplicates: 0.05, Policy: crew.DefaultPolicy,
		Jobs: testJobs, Lease: crew.Lease})
}

// checkRuns checks the jobs from the given time on: none runs more than twice in its period, and no gap between runs is longer than the sum
// of period and slack. It returns the longest gap beyond a period.
func checkRuns(t *testing.T, c *crew.Cluster, name string, from, slack time.Duration) (worst time.Duration) {
	t.Helper()
	for i, d := range testJobs {
		times, gap := c.MaxRuns(i, from)
		if times > 2 || gap > d.Period+slack {
			t.Errorf("%s: %s ran %d times in a period, longest gap %v", name, d.Name, times, gap)
		}
		worst = max(worst, gap-d.Period)
	}
	return worst
}

// One of five brokers is killed while 30% of datagrams are lost: its jobs run again with a delay of at most ten seconds, and none more than
// twice in its period.
func TestOwnerKilled(t *testing.T) {
	worst := time.Duration(0)
	for seed := range uint64(100) {
		c := newTier(seed, 5, 0.3)
		c.Run(20 * time.Second)
		c.Kill(int(seed % 5))
		c.Run(60 * time.Second)
		worst = max(worst, checkRuns(t, c, fmt.Sprintf("seed %d", seed), 5*time.Second, 10*time.Second))
	}
	t.Logf("the longest delay of a job was %v", worst)
}

// A broker that stops as planned hands over its jobs at once.
func TestPlannedStop(t *testing.T) {
	for seed := range uint64(20) {
		c := newTier(seed, 5, 0.1)
		c.Run(20 * time.Second)
		c.Stop(int(seed % 5))
		c.Run(40 * time.Second)
		checkRuns(t, c, fmt.Sprintf("seed %d", seed), 5*time.Second, 2*time.Second)
	}
}

// A broker resumes after a pause of 30 s: its work under the old fencing number is rejected, and there is no third run in a period.
func TestPausedOwnerWakes(t *testing.T) {
	for seed := range uint64(20) {
		c := newTier(seed, 5, 0.2)
		c.Run(20 * time.Second)
		c.Pause(int(seed % 5))
		c.Run(50 * time.Second)
		c.Resume(int(seed % 5))
		c.Run(70 * time.Second)
		checkRuns(t, c, fmt.Sprintf("seed %d", seed), 5*time.Second, 10*time.Second)
		if !c.ViewsAgree() {
			t.Errorf("seed %d: after the pause the brokers do not agree on the members", seed)
		}
	}
}

// A partition into two and three brokers: each side has an owner, so a job runs at most twice in its period. After the partition the
// brokers agree on the members within five seconds, and there is one owner again.
func TestPartitionHeals(t *testing.T) {
	worst := time.Duration(0)
	for seed := range uint64(20) {
		c := newTier(seed, 5, 0.1)
		c.Run(20 * time.Second)
		c.Blocked = func(from, to int) bool { return (from < 2) != (to < 2) }
		c.Run(50 * time.Second)
		c.Blocked = nil
		healed := c.Now()
		for !c.ViewsAgree() && c.Now() < healed+20*time.Second {
			c.Run(c.Now() + 100*time.Millisecond)
		}
		worst = max(worst, c.Now()-healed)
		c.Run(80 * time.Second)
		checkRuns(t, c, fmt.Sprintf("seed %d", seed), 5*time.Second, 10*time.Second)
	}
	if worst > 5*time.Second {
		t.Errorf("the brokers agreed on the members only %v after the partition", worst)
	}
	t.Logf("the brokers agreed on the members within %v after the partition", worst)
}

// All brokers are restarted together: the jobs run again, and none more than twice in its period.
func TestAllRestarted(t *testing.T) {
	for seed := range uint64(10) {
		c := newTier(seed, 5, 0.1)
		c.Run(20 * time.Second)
		for n := range 5 {
			c.Kill(n)
		}
		for n := range 5 {
			c.Restart(n)
		}
		from := c.Now()
		c.Run(50 * time.Second)
		checkRuns(t, c, fmt.Sprintf("seed %d", seed), from, 10*time.Second)
	}
}

// A clock jump, an hour forward or ten seconds back, delays no job by more than ten seconds.
func TestClockJumps(t *testing.T) {
	for _, by := range []time.Duration{time.Hour, -10 * time.Second} {
		c := newTier(1, 5, 0.1)
		c.Run(30 * time.Second)
		c.SkewClock(2, by)
		c.Run(70 * time.Second)
		checkRuns(t, c, by.String(), 5*time.Second, 10*time.Second)
	}
}

// A broker decodes and handles claims, and rejects outdated fencing numbers and invalid claims.
func TestClaims(t *testing.T) {
	policy := crew.Lease
	coordinator := ownership.NewCoordinator(policy, 7, testJobs, 0)
	coordinator.SetMembers([]ownership.Member{{ID: 7, Weight: 1}}, 0)
	runs, _ := coordinator.Tick(policy.SettleTime)
	for now := policy.SettleTime; len(runs) == 0 && now < 10*time.Second; now += 50 * time.Millisecond {
		runs, _ = coordinator.Tick(now)
	}
	if len(runs) == 0 || !coordinator.AcceptFence(runs[0].Job, runs[0].Fence) {
		t.Fatalf("no run is due, or its own fence is rejected: %v", runs)
	}
	later := ownership.Claim{Job: uint8(runs[0].Job), Fence: runs[0].Fence + 5, Owner: 9, RunCount: 3}
	decoded, ok := ownership.DecodeClaim(later.AppendTo(nil))
	if !ok || decoded != later || !coordinator.HandleClaim(decoded, 10*time.Second) || coordinator.HandleClaim(decoded, 10*time.Second) {
		t.Errorf("decoded %+v, %v; or the claim was not news exactly once", decoded, ok)
	}
	if coordinator.AcceptFence(runs[0].Job, runs[0].Fence) {
		t.Error("an old fencing number is accepted")
	}
	for _, bad := range [][]byte{nil, {1}, make([]byte, 18), append(later.AppendTo(nil), 0)} {
		if _, ok := ownership.DecodeClaim(bad); ok {
			t.Errorf("%x was decoded", bad)
		}
	}
	if coordinator.HandleClaim(ownership.Claim{Job: 200, Fence: 1, Owner: 1}, 0) {
		t.Error("a claim on an unknown job was news")
	}
}

// Jobs are shared by weight: a broker with three times the others' weight owns about three times as many.
func TestWeights(t *testing.T) {
	var jobs []ownership.Job
	for i := range 3000 {
		jobs = append(jobs, ownership.Job{Name: fmt.Sprint("duty ", i), Period: time.Minute})
	}
	coordinator := ownership.NewCoordinator(crew.Lease, 1, jobs, 0)
	var members []ownership.Member
	for i := range 5 {
		members = append(members, ownership.Member{ID: uint32(membership.IDOf(crew.Name(i))), Weight: 1})
	}
	members[2].Weight = 3
	coordinator.SetMembers(members, 0)
	owned := map[uint32]int{}
	for i := range jobs {
		owned[coordinator.Owner(i)]++
	}
	if n := owned[members[2].ID]; n < 1150 || n > 1430 {
		t.Errorf("%d of 3000 jobs at three sevenths of the weight", n)
	}
	coordinator.SetMembers(members[:4], 0) // a member leaves: only its own jobs move
	for i := range jobs {
		was := rankOwner(members, jobs[i].Name)
		if now := coordinator.Owner(i); was != members[4].ID && now != was {
			t.Fatalf("%s moved from member %d, which did not leave, to %d", jobs[i].Name, was, now)
		}
	}
}

func rankOwner(members []ownership.Member, name string) uint32 {
	coordinator := ownership.NewCoordinator(crew.Lease, 1, []ownership.Job{{Name: name, Period: time.Minute}}, 0)
	coordinator.SetMembers(members, 0)
	return coordinator.Owner(0)
}
