package controlplane

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"flaxfront/internal/decision/release"
	"flaxfront/internal/decision/statemachine"
)

var rounds = flag.Int("rounds", 4, "seeds of releases under cuts")

// outside sees which brokers have stopped by a permit, and are not back.
type outside struct {
	mu     sync.Mutex
	out    map[string]bool
	times  map[string]int // that each has gone
	most   int
	voters int // out at once at the most
}

func (o *outside) goes(name string, gone bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if gone {
		o.times[name]++
		o.out[name] = true
	} else {
		delete(o.out, name)
	}
	o.most = max(o.most, len(o.out))
	voters := 0
	for _, v := range []string{"b1", "b2", "b3"} {
		if o.out[v] {
			voters++
		}
	}
	o.voters = max(o.voters, voters)
}

// A release goes through all brokers while links are cut at random: never more are out than may be, by the look from outside,
// nobody goes twice, and it ends. Where more may be, the same look finds them.
func TestReleaseUnderCuts(t *testing.T) {
	for seed := range *rounds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			inside(t, func(t *testing.T, c *tier) {
				if n := released(t, c, uint64(seed), 2); n > 2 {
					t.Errorf("%d were out at once, 2 may be", n)
				}
			})
		})
	}
	t.Run("fault", func(t *testing.T) {
		inside(t, func(t *testing.T, c *tier) {
			if n := released(t, c, 1, 5); n <= 2 {
				t.Errorf("where 5 may be out the look from outside finds %d", n)
			}
		})
	})
}

// released plays a release and tells how many were out at once.
func released(t *testing.T, c *tier, seed uint64, most int) int {
	o := &outside{out: map[string]bool{}, times: map[string]int{}}
	version := map[string]string{}
	goers := make(chan string, 64)
	c.set = func(opt *Options) {
		name := opt.ListenAddr
		opt.Version = max("1", version[name])
		opt.ReleaseGates = release.Defaults()
		opt.ReleaseGates.ObserveTime = time.Second
		var f *Participant
		var tried sync.Map
		opt.OnView = func(v *View) {
			if f == nil {
				c.mu.Lock()
				f = c.all[name]
				c.mu.Unlock()
			}
			if v.MustExit {
				if _, again := tried.LoadOrStore("gone", true); !again {
					o.goes(name, true)
					goers <- name
				}
			} else if n := v.Permit.Number; f != nil && n > 0 && !v.Permit.Used {
				if _, again := tried.LoadOrStore(n, true); !again {
					go func() {
						ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
						defer cancel()
						f.Propose(ctx, &statemachine.UsePermit{Permit: n, Slot: f.options.Slot, Incarnation: v.Permit.Incarnation})
						tried.Delete(n)
					}()
				}
			}
		}
	}
	const brokers = 7
	for i := range brokers {
		c.start(i + 1)
	}
	c.until("all are in", 5*time.Second, c.connected)
	plan := &statemachine.ReleasePlan{To: "2", From: "1", MaxOut: uint32(most), Gates: "off"}
	for i := range brokers {
		plan.Slots = append(plan.Slots, statemachine.Slot(brokers-i))
	}
	if _, err := c.propose("b7", plan); err != nil {
		t.Fatal(err)
	}
	rnd := rand.New(rand.NewPCG(seed, 7))
	back := map[string]time.Time{}
	for began := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		if time.Since(began) > 3*time.Minute {
			r, _ := peek(c.all["b1"], func() statemachine.Release { r, _ := c.all["b1"].state.Release(); return r }), 0
			t.Fatalf("the release does not end: %+v", r)
		}
		if bad := c.unsafe(); bad != "" {
			t.Fatal(bad)
		}
		if rnd.IntN(20) == 0 && time.Since(began) < time.Minute { // a cut for a while, of one from all or of two
			a, b := rnd.IntN(brokers)+1, rnd.IntN(brokers)+1
			long := time.Duration(rnd.IntN(4000)) * time.Millisecond
			go func() {
				c.w.cut(fmt.Sprint("b", a), fmt.Sprint("b", b), true)
				time.Sleep(long)
				c.w.cut(fmt.Sprint("b", a), fmt.Sprint("b", b), false)
			}()
		}
		for len(goers) > 0 {
			name := <-goers
			c.stop[name]()
			version[name] = "2"
			back[name] = time.Now().Add(time.Duration(rnd.IntN(2000)) * time.Millisecond)
		}
		for name, at := range back {
			if time.Now().After(at) {
				delete(back, name)
				o.goes(name, false)
				c.start(int(name[1] - '0'))
			}
		}
		if f := c.all["b1"]; f != nil && len(back) == 0 {
			r := peek(f, func() statemachine.Release { r, _ := f.state.Release(); return r })
			if r.State == statemachine.ReleaseDone {
				break
			}
			if r.State == statemachine.ReleaseHalted {
				t.Fatalf("halted: %s", r.Reason)
			}
		}
	}
	for i := range brokers {
		if name := fmt.Sprint("b", i+1); o.times[name] != 1 {
			t.Errorf("%s went %d times", name, o.times[name])
		}
	}
	if o.voters > 1 {
		t.Errorf("%d of three voters were out at once", o.voters)
	}
	time.Sleep(5 * time.Second)
	return o.most
}
