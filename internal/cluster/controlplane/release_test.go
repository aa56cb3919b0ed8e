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

var rounds = flag.Int("rounds", 4, "number of seeds in TestReleaseUnderCuts")

// outageObserver records which brokers have stopped by a permit and have not been started again.
type outageObserver struct {
	mu        sync.Mutex
	out       map[string]bool
	exits     map[string]int // by broker, how often it has stopped
	maxOut    int
	votersOut int // highest number of voters out at the same time
}

func (o *outageObserver) setOut(name string, isOut bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if isOut {
		o.exits[name]++
		o.out[name] = true
	} else {
		delete(o.out, name)
	}
	o.maxOut = max(o.maxOut, len(o.out))
	votersOut := 0
	for _, v := range []string{"b1", "b2", "b3"} {
		if o.out[v] {
			votersOut++
		}
	}
	o.votersOut = max(o.votersOut, votersOut)
}

// TestReleaseUnderCuts runs a release over all brokers while links are cut at random. It checks from outside the state machine that no more
// brokers are out at the same time than allowed, that none stops twice, and that the release ends. The case "fault" allows more brokers to
// be out, and checks that the observer counts them.
func TestReleaseUnderCuts(t *testing.T) {
	for seed := range *rounds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runWithFakeTime(t, func(t *testing.T, c *tier) {
				if n := runRelease(t, c, uint64(seed), 2); n > 2 {
					t.Errorf("%d brokers were out at the same time, at most 2 are allowed", n)
				}
			})
		})
	}
	t.Run("fault", func(t *testing.T) {
		runWithFakeTime(t, func(t *testing.T, c *tier) {
			if n := runRelease(t, c, 1, 5); n <= 2 {
				t.Errorf("with up to 5 brokers allowed out, the observer saw at most %d, want more than 2", n)
			}
		})
	})
}

// runRelease runs a release and returns the highest number of brokers that were out at the same time.
func runRelease(t *testing.T, c *tier, seed uint64, maxOut int) int {
	observer := &outageObserver{out: map[string]bool{}, exits: map[string]int{}}
	version := map[string]string{}
	exiting := make(chan string, 64)
	c.adjustOptions = func(opt *Options) {
		name := opt.ListenAddr
		opt.Version = max("1", version[name])
		opt.ReleaseGates = release.Defaults()
		opt.ReleaseGates.ObserveTime = time.Second
		var p *Participant
		var handled sync.Map
		opt.OnView = func(v *View) {
			if p == nil {
				c.mu.Lock()
				p = c.participants[name]
				c.mu.Unlock()
			}
			if v.MustExit {
				if _, again := handled.LoadOrStore("gone", true); !again {
					observer.setOut(name, true)
					exiting <- name
				}
			} else if n := v.Permit.Number; p != nil && n > 0 && !v.Permit.Used {
				if _, again := handled.LoadOrStore(n, true); !again {
					go func() {
						ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
						defer cancel()
						p.Propose(ctx, &statemachine.UsePermit{Permit: n, Slot: p.options.Slot, Incarnation: v.Permit.Incarnation})
						handled.Delete(n)
					}()
				}
			}
		}
	}
	const brokers = 7
	for i := range brokers {
		c.start(i + 1)
	}
	c.waitUntil("all brokers are connected", 5*time.Second, c.allConnected)
	plan := &statemachine.ReleasePlan{To: "2", From: "1", MaxOut: uint32(maxOut), Gates: "off"}
	for i := range brokers {
		plan.Slots = append(plan.Slots, statemachine.Slot(brokers-i))
	}
	if _, err := c.propose("b7", plan); err != nil {
		t.Fatal(err)
	}
	rnd := rand.New(rand.NewPCG(seed, 7))
	restartAt := map[string]time.Time{}
	for began := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		if time.Since(began) > 3*time.Minute {
			r, _ := readInLoop(c.participants["b1"], func() statemachine.Release { r, _ := c.participants["b1"].state.Release(); return r }), 0
			t.Fatalf("the release has not ended after 3 minutes: %+v", r)
		}
		if fault := c.findLostLeaseHolder(); fault != "" {
			t.Fatal(fault)
		}
		if rnd.IntN(20) == 0 && time.Since(began) < time.Minute { // cuts a link between two brokers for up to 4 s
			a, b := rnd.IntN(brokers)+1, rnd.IntN(brokers)+1
			duration := time.Duration(rnd.IntN(4000)) * time.Millisecond
			go func() {
				c.network.setPartitioned(fmt.Sprint("b", a), fmt.Sprint("b", b), true)
				time.Sleep(duration)
				c.network.setPartitioned(fmt.Sprint("b", a), fmt.Sprint("b", b), false)
			}()
		}
		for len(exiting) > 0 {
			name := <-exiting
			c.stopBroker[name]()
			version[name] = "2"
			restartAt[name] = time.Now().Add(time.Duration(rnd.IntN(2000)) * time.Millisecond)
		}
		for name, at := range restartAt {
			if time.Now().After(at) {
				delete(restartAt, name)
				observer.setOut(name, false)
				c.start(int(name[1] - '0'))
			}
		}
		if p := c.participants["b1"]; p != nil && len(restartAt) == 0 {
			r := readInLoop(p, func() statemachine.Release { r, _ := p.state.Release(); return r })
			if r.State == statemachine.ReleaseDone {
				break
			}
			if r.State == statemachine.ReleaseHalted {
				t.Fatalf("the release was halted: %s", r.Reason)
			}
		}
	}
	for i := range brokers {
		if name := fmt.Sprint("b", i+1); observer.exits[name] != 1 {
			t.Errorf("%s stopped %d times, want once", name, observer.exits[name])
		}
	}
	if observer.votersOut > 1 {
		t.Errorf("%d of three voters were out at the same time", observer.votersOut)
	}
	time.Sleep(5 * time.Second)
	return observer.maxOut
}
