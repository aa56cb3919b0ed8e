package main

// This file implements the commands up, herd and returns. up and returns run a broker in this process, with simulated nodes on loopback.

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"flaxfront/internal/config/operator"
	"flaxfront/internal/config/terms"
	"flaxfront/internal/decision"
	"flaxfront/internal/decision/routing"
	"flaxfront/internal/lab"
	"flaxfront/internal/server"
)

// liveBroker is a broker in this process.
type liveBroker struct {
	*server.Server
	stop chan struct{}
	done chan error
}

// startBroker starts a broker with a configuration and an operators' file ("" for none).
func startBroker(config, file string) (*liveBroker, error) {
	start, err := terms.ReadConfig(config)
	if err != nil {
		return nil, err
	}
	own, err := operator.Read(file)
	if err != nil {
		return nil, err
	}
	s, err := server.New(start, own, func(t decision.Settings) decision.Router { return routing.New(t) })
	if err == nil {
		err = s.Open()
	}
	if err != nil {
		return nil, err
	}
	l := &liveBroker{s, make(chan struct{}), make(chan error, 1)}
	go func() { l.done <- s.Run(l.stop) }()
	return l, nil
}

// shutDown stops the broker and waits until it has ended.
func (l *liveBroker) shutDown() error {
	close(l.stop)
	return <-l.done
}

// site is a set of simulated nodes with the address, configuration and operators' file of one broker.
type site struct {
	*lab.Fleet
	at, config, file string
}

func newSite(dir string, nodes, cells int, seed uint64, operators string) (*site, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	f, err := lab.NewFleet(dir, nodes, cells, seed)
	if err != nil {
		return nil, err
	}
	s := &site{Fleet: f, file: filepath.Join(dir, "operator.json5")}
	if err = f.Discovery.Up("127.0.0.1:0"); err == nil {
		s.at, err = lab.FreeAddr()
	}
	if err == nil {
		s.config, err = f.Config("n0", s.at, f.Discovery.Addr(), false)
	}
	if err == nil {
		err = os.WriteFile(s.file, []byte(operators), 0o600)
	}
	return s, err
}

// nodeListSettings returns an operators' file that caches the endpoint list under dir.
func nodeListSettings(dir string) string {
	return fmt.Sprintf(`{"start": {"node_list": {"directory": %q, "save_every": "50ms"}}}`, filepath.Join(dir, "list"))
}

func upCommand() *cobra.Command {
	var nodes int
	var rate float64
	var duration, outage time.Duration
	var logs bool
	up := &cobra.Command{
		Use:   "up",
		Short: "Start simulated nodes, a discovery and a broker, and generate load until stopped",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if !logs {
				slog.SetDefault(slog.New(slog.DiscardHandler))
			}
			dir, err := os.MkdirTemp("", "flaxlab")
			if err != nil {
				return err
			}
			defer os.RemoveAll(dir)
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			return runUp(ctx, cmd.OutOrStdout(), dir, nodes, rate, duration, outage)
		},
	}
	up.Flags().IntVar(&nodes, "nodes", 8, "number of simulated nodes, in two cells")
	up.Flags().Float64Var(&rate, "rate", 50, "queries per second")
	up.Flags().DurationVar(&duration, "for", 10*time.Minute, "maximum duration")
	up.Flags().DurationVar(&outage, "outage", 0, "after 5 s the broker restarts while discovery is down for this long (0: no restart)")
	up.Flags().BoolVar(&logs, "logs", false, "write the broker's log to standard error")
	return up
}

func runUp(ctx context.Context, out io.Writer, dir string, nodes int, rate float64, duration, outage time.Duration) error {
	s, err := newSite(dir, nodes, 2, 1, nodeListSettings(dir))
	if err != nil {
		return err
	}
	defer s.Close()
	broker, err := startBroker(s.config, s.file)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "broker at %s with %d simulated nodes; try\n  curl -d '{\"tablets\":[{\"tablet\":0,\"fraction\":1}],\"statement\":\"c4\"}' "+
		"-H 'X-Request-ID: my-first' -H 'X-Tenant-Id: acme' -H 'X-Timeout-Ms: 900' http://%s/find\n", s.at, nodes, s.at)
	load := lab.Load{URL: "http://" + s.at, QueryType: "find", Tenant: "acme", Shards: 2 * s.Cells, MaxShards: 4, Rate: rate,
		RunTime: duration, Timeout: 2 * time.Second, Objective: time.Second, MinCompleteness: 1, Seed: 1, ReportEvery: time.Second, ReportTo: out}
	if outage > 0 {
		load.RunTime = 5 * time.Second
		fmt.Fprintln(out, load.Run())
		s.Discovery.Down()
		if err := broker.shutDown(); err != nil {
			return err
		}
		if broker, err = startBroker(s.config, s.file); err != nil {
			return err
		}
		time.AfterFunc(outage, func() { s.Discovery.Up("") })
		load.RunTime = outage + 5*time.Second
		fmt.Fprintf(out, "broker restarted; discovery is down for %v\n", outage)
	}
	done := make(chan *lab.LoadResult, 1)
	go func() { done <- load.Run() }()
	select {
	case o := <-done:
		fmt.Fprintln(out, o)
	case <-ctx.Done():
		fmt.Fprintln(out, "stopped")
	}
	fmt.Fprintln(out, broker.Counters())
	return broker.shutDown()
}

func herdCommand() *cobra.Command {
	var calls float64
	var seeds int
	herd := &cobra.Command{
		Use:   "herd",
		Short: "Simulate the return of discovery: four ways of polling, with 1, 20 and 300 brokers",
		Args:  cobra.NoArgs,
		Run:   func(cmd *cobra.Command, _ []string) { lab.CompareRecovery(cmd.OutOrStdout(), calls, seeds) },
	}
	herd.Flags().Float64Var(&calls, "calls", 500, "polls that discovery answers per second")
	herd.Flags().IntVar(&seeds, "seeds", 20, "number of returns for each line")
	return herd
}

func returnsCommand() *cobra.Command {
	var trials int
	returns := &cobra.Command{
		Use:   "returns",
		Short: "Measure on sockets how long a drained node is still used after the return of discovery",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			slog.SetDefault(slog.New(slog.DiscardHandler))
			var all []time.Duration
			broken := 0
			for trial := range trials {
				staleUse, o, err := measureReturn(uint64(trial))
				if err != nil {
					return err
				}
				all, broken = append(all, staleUse), broken+len(o.Violations)
			}
			slices.Sort(all)
			quantile := func(q float64) time.Duration { return all[int(q*float64(len(all)-1))].Round(time.Millisecond) }
			fmt.Fprintf(cmd.OutOrStdout(), "last use of a stale entry after the return of discovery, %d trials: p50 %v, p90 %v, p99 %v, max %v; rules broken %d\n",
				trials, quantile(0.5), quantile(0.9), quantile(0.99), quantile(1), broken)
			return nil
		},
	}
	returns.Flags().IntVar(&trials, "trials", 100, "number of trials")
	return returns
}

// measureReturn lets a broker cache the list, restarts it while discovery is down, drains a node meanwhile, and starts discovery again. It
// returns for how long after that the node still got shard requests.
func measureReturn(seed uint64) (staleUse time.Duration, outcome *lab.LoadResult, err error) {
	dir, err := os.MkdirTemp("", "flaxlab")
	if err != nil {
		return 0, nil, err
	}
	defer os.RemoveAll(dir)
	s, err := newSite(dir, 8, 2, seed, nodeListSettings(dir))
	if err != nil {
		return 0, nil, err
	}
	defer s.Close()
	broker, err := startBroker(s.config, s.file)
	if err != nil {
		return 0, nil, err
	}
	time.Sleep(300 * time.Millisecond)
	s.Discovery.Down()
	if err := broker.shutDown(); err != nil {
		return 0, nil, err
	}
	s.List[0].Lifecycle = "terminating" // it still answers, so that only discovery can end its use
	s.Discovery.SetList(s.List)
	if broker, err = startBroker(s.config, s.file); err != nil {
		return 0, nil, err
	}
	down := time.Second + time.Duration(seed%10)*53*time.Millisecond
	returns := make(chan time.Time, 1)
	time.AfterFunc(down, func() {
		at := time.Now()
		if s.Discovery.Up("") != nil {
			at = time.Time{}
		}
		returns <- at
	})
	outcome = lab.Load{URL: "http://" + s.at, QueryType: "find", Tenant: "acme", Shards: 2 * s.Cells, MaxShards: 4, Rate: 200,
		RunTime: down + 2*time.Second, Timeout: 2 * time.Second, Objective: time.Second, MinCompleteness: 1, Seed: seed}.Run()
	returned := <-returns
	if returned.IsZero() {
		return 0, outcome, fmt.Errorf("discovery could not listen at its address again")
	}
	return max(0, time.Unix(0, s.Nodes[0].LastRequestAt.Load()).Sub(returned)), outcome, broker.shutDown()
}
