package main

// This file implements the command sites, an experiment with two sites: a broker with its own nodes at each, and a simulated wire between
// them that can delay, cut and reset connections.

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"flaxfront/internal/lab"
	"flaxfront/internal/transport/keys"
)

// sitePair is two sites and the wires between them. Clients query the first site, which forwards queries to the second.
type sitePair struct {
	sites      [2]*site
	wires      [2]*lab.Relay // to the second site, and to the first
	liveBroker [2]*liveBroker
	linkAddrs  [2]string // the address at which each site accepts links of the other
}

// newSitePair starts two sites, with or without the gateway between them.
func newSitePair(dir string, seed uint64, delay, jitter time.Duration, gateway bool) (*sitePair, error) {
	p := &sitePair{}
	now := time.Now()
	ca := filepath.Join(dir, "ca")
	if err := keys.NewAuthority(ca, "lab", 24*time.Hour, now); err != nil {
		return nil, err
	}
	for i, name := range []string{"site-a", "site-b"} {
		var err error
		if p.linkAddrs[i], err = lab.FreeAddr(); err != nil {
			return nil, err
		}
		if p.wires[1-i], err = lab.NewRelay(p.linkAddrs[i], delay, jitter, seed); err != nil {
			return nil, err
		}
		if _, err = keys.Issue(ca, filepath.Join(dir, name, "keys"), keys.ID{Site: name, Broker: "n0"}, time.Hour, now); err != nil {
			return nil, err
		}
	}
	for i, name := range []string{"site-a", "site-b"} {
		other := []string{"site-b", "site-a"}[i]
		file := "{}"
		if gateway {
			file = fmt.Sprintf(`{"sites": {"keys": %q, "listen": %q, "allow": [%q], "targets": ["%s=%s"], "share": 1, "burst": 1000,
				"accept": 0.5}}`, filepath.Join(dir, name, "keys"), p.linkAddrs[i], other, other, p.wires[i].Addr())
		}
		var err error
		if p.sites[i], err = newSite(filepath.Join(dir, name), 8, 4, seed+uint64(i), file); err != nil {
			return nil, err
		}
		if p.liveBroker[i], err = startBroker(p.sites[i].config, p.sites[i].file); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func (p *sitePair) close() {
	for i := range p.liveBroker {
		p.liveBroker[i].shutDown()
		p.sites[i].Close()
		p.wires[i].Close()
	}
}

// stopCells stops the nodes of some cells of the first site.
func (p *sitePair) stopCells(cells ...int) {
	for i, n := range p.sites[0].Nodes {
		if slices.Contains(cells, i%p.sites[0].Cells) {
			n.SetMode(lab.Dead)
		}
	}
}

// runLoad runs a load on one of the sites.
func (p *sitePair) runLoad(at int, rate float64, last time.Duration, seed uint64, audit *lab.Audit) *lab.LoadResult {
	return lab.Load{URL: "http://" + p.sites[at].at, QueryTypes: []string{"find", "sign", "book"}, Tenant: "acme", Shards: 2 * p.sites[at].Cells,
		MaxShards: 3, Rate: rate, RunTime: last, Timeout: 1500 * time.Millisecond, Objective: time.Second, MinCompleteness: 1, Seed: seed, RecordResult: audit.RecordResult}.Run()
}

func sitesCommand() *cobra.Command {
	var delay time.Duration
	var logs bool
	var cuts bool
	var searches, seed int
	c := &cobra.Command{
		Use:   "sites",
		Short: "Run two simulated sites on sockets: with normal load, lost shards and overload, or with the wire between them cut under load",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if !logs {
				slog.SetDefault(slog.New(slog.DiscardHandler))
			}
			if cuts {
				return cutWires(cmd.OutOrStdout(), delay, searches, seed)
			}
			return compareGateway(cmd.OutOrStdout(), delay)
		},
	}
	c.Flags().DurationVar(&delay, "delay", 80*time.Millisecond, "delay added to a round trip")
	c.Flags().BoolVar(&cuts, "cuts", false, "cut the wire under load, in six ways at random times")
	c.Flags().IntVar(&searches, "searches", 20000, "with --cuts: minimum number of queries")
	c.Flags().IntVar(&seed, "seed", 0, "with --cuts: number of the first round")
	c.Flags().BoolVar(&logs, "logs", false, "write the brokers' logs to standard error")
	return c
}

// compareGateway runs each scenario without and with the gateway, and prints a line for each.
func compareGateway(out io.Writer, delay time.Duration) error {
	fmt.Fprintf(out, "%-34s  %-9s  %7s  %7s  %7s  %9s  %s\n", "first site", "gateway", "asked", "target", "shed", "forwarded", "rules broken")
	for _, scenario := range []struct {
		name string
		lost []int
		rate float64
	}{
		{"normal load", nil, 100},
		{"a quarter of its shards lost", []int{0}, 100},
		{"half of its shards lost", []int{0, 1}, 100},
		{"load of 1.5 times its capacity", nil, 600},
	} {
		for _, gateway := range []bool{false, true} {
			dir, err := os.MkdirTemp("", "flaxlab")
			if err != nil {
				return err
			}
			p, err := newSitePair(dir, 1, delay/2, 0, gateway)
			if err != nil {
				return err
			}
			time.Sleep(time.Second)
			p.stopCells(scenario.lost...)
			for _, s := range p.sites {
				s.SetMeanWork(20 * time.Millisecond) // 800 shard requests per second
			}
			audit := &lab.Audit{Fleet: []*lab.Fleet{p.sites[0].Fleet, p.sites[1].Fleet}}
			o := p.runLoad(0, scenario.rate, 6*time.Second, 7, audit)
			forwarded := uint64(0)
			if g := p.liveBroker[0].Counters().Queries.Gateway; g != nil {
				forwarded = g.Outgoing.Forwarded
			}
			time.Sleep(300 * time.Millisecond)
			broken, _ := audit.Check()
			fmt.Fprintf(out, "%-34s  %-9v  %7d  %6.1f%%  %6.1f%%  %9d  %d\n", scenario.name, gateway, o.Asked,
				100*float64(o.InTarget)/float64(o.Asked), 100*float64(o.Shed)/float64(o.Asked), forwarded, len(o.Violations)+len(broken))
			p.close()
			os.RemoveAll(dir)
		}
	}
	return nil
}

// cutWires forwards many of the queries and cuts the wire at random times, in one direction, the other, or both, for short and long times.
// Then it checks the answers that clients got against what the nodes of both sites ran.
func cutWires(out io.Writer, delay time.Duration, searches, seed int) error {
	var sum lab.LoadResult
	var audited int
	round := seed
	var broken []string
	var forwarding [8]uint64
	for ; sum.Asked < searches; round++ {
		dir, err := os.MkdirTemp("", "flaxlab")
		if err != nil {
			return err
		}
		jitter := delay / 8
		if round%4 == 2 {
			jitter = delay / 2 // as much as the delay in one direction
		}
		p, err := newSitePair(dir, uint64(round), delay/2, jitter, true)
		if err != nil {
			return err
		}
		time.Sleep(time.Second)
		p.stopCells(0, 1)
		audit := &lab.Audit{Fleet: []*lab.Fleet{p.sites[0].Fleet, p.sites[1].Fleet}}
		stop, done := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(done)
			rnd := rand.New(rand.NewPCG(uint64(round), 5))
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(200+rnd.IntN(1200)) * time.Millisecond):
				}
				w := p.wires[0]
				if round%4 == 3 { // the wire flaps: four short cuts first
					for range 4 {
						w.Cut(true, true)
						time.Sleep(300 * time.Millisecond)
						w.Cut(false, false)
						time.Sleep(300 * time.Millisecond)
					}
				}
				switch rnd.IntN(6) {
				case 0:
					w.Reset()
				case 1:
					w.Cut(true, false)
				case 2:
					w.Cut(false, true)
				default:
					w.Cut(true, true)
				}
				time.Sleep(time.Duration(20+rnd.IntN(1800)) * time.Millisecond)
				if rnd.IntN(2) == 0 {
					w.Reset()
				}
				w.Cut(false, false)
			}
		}()
		o := p.runLoad(0, 400, 20*time.Second, uint64(round), audit)
		close(stop)
		<-done
		time.Sleep(2500 * time.Millisecond) // until the last forwarded queries have ended
		violations, n := audit.Check()
		broken, audited = append(append(broken, violations...), o.Violations...), audited+n
		sum.Asked, sum.Answered, sum.Shed = sum.Asked+o.Asked, sum.Answered+o.Answered, sum.Shed+o.Shed
		sum.Failed, sum.Unanswered, sum.InTarget = sum.Failed+o.Failed, sum.Unanswered+o.Unanswered, sum.InTarget+o.InTarget
		outgoing := p.liveBroker[0].Counters().Queries.Gateway.Outgoing
		incoming := p.liveBroker[1].Counters().Queries.Gateway.Incoming
		for i, v := range []uint64{outgoing.Forwarded, outgoing.Answered, outgoing.LinkLost, outgoing.Retried, outgoing.Returned, outgoing.TimedOut, incoming.Joined + incoming.Repeated, incoming.Cancelled} {
			forwarding[i] += v
		}
		p.close()
		os.RemoveAll(dir)
	}
	fmt.Fprintf(out, "%d rounds, delay %v: asked %d, answered %d, shed %d, failed %d, unanswered %d\n", round-seed, delay, sum.Asked,
		sum.Answered, sum.Shed, sum.Failed, sum.Unanswered)
	fmt.Fprintf(out, "forwarded %d, answered there %d, link lost %d, resumed %d, returned %d, timed out %d; there: joined or repeated %d, cancelled %d\n",
		forwarding[0], forwarding[1], forwarding[2], forwarding[3], forwarding[4], forwarding[5], forwarding[6], forwarding[7])
	fmt.Fprintf(out, "queries with an effect checked against the nodes: %d; rules broken: %d\n", audited, len(broken))
	if len(broken) > 0 {
		fmt.Fprintln(out, strings.Join(broken[:min(len(broken), 10)], "\n"))
		return fmt.Errorf("%d rules broken", len(broken))
	}
	return nil
}
