package main

// This file implements the commands check and play, which work on scripts.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"sync/atomic"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"flaxfront/internal/lab/play"
	"flaxfront/internal/lab/script"
)

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check SCRIPT...",
		Short: "Check scripts",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			bad := 0
			for _, path := range args {
				s, err := script.Read(path)
				if err != nil {
					bad++
					fmt.Fprintln(cmd.OutOrStdout(), err)
					continue
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s: valid: %s: %d nodes, %d brokers, %v, %d troubles\n", path, s.Name, s.Fleet.Nodes,
					s.Brokers.Count, s.Length, len(s.Faults))
			}
			if bad > 0 {
				return fmt.Errorf("%d of %d scripts are invalid", bad, len(args))
			}
			return nil
		},
	}
}

// stopOnSignal returns a flag that SIGINT and SIGTERM set, and a function that releases its resources.
func stopOnSignal(ctx context.Context) (*atomic.Bool, func()) {
	stop := &atomic.Bool{}
	ctx, end := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-ctx.Done()
		stop.Store(true)
	}()
	return stop, end
}

func playCommand() *cobra.Command {
	var policy, file, trace string
	var cores, seeds int
	var live bool
	c := &cobra.Command{
		Use:   "play SCRIPT",
		Short: "Run a script in virtual time and print the results",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			slog.SetDefault(slog.New(slog.DiscardHandler))
			s, err := script.Read(args[0])
			if err != nil {
				return err
			}
			if live {
				return playOnSockets(cmd.OutOrStdout(), s)
			}
			stop, end := stopOnSignal(cmd.Context())
			defer end()
			out := cmd.OutOrStdout()
			options := play.Options{Cores: cores, Policy: play.Policy(policy), Stop: stop}
			if trace != "" {
				f, err := os.Create(trace)
				if err != nil {
					return err
				}
				defer f.Close()
				options.Trace = f
			}
			var all []*play.Result
			broken := int64(0)
			for range seeds {
				began := time.Now()
				r, err := play.Play(s, options)
				if err != nil {
					return err
				}
				var mem runtime.MemStats
				runtime.ReadMemStats(&mem)
				printResult(out, r)
				took := time.Since(began)
				fmt.Fprintf(out, "%d events in %v (%.1f times as fast as real time, %d MB from the system)\n", r.Events,
					took.Round(time.Millisecond), r.Played.Seconds()/took.Seconds(), mem.Sys>>20)
				all, broken = append(all, r), broken+r.Broken
				s.Seed++
			}
			if file != "" {
				if err := writeJSON(file, all); err != nil {
					return err
				}
			}
			if broken > 0 {
				return fmt.Errorf("rules were broken %d times", broken)
			}
			return nil
		},
	}
	c.Flags().StringVar(&policy, "policy", string(play.Module), "routing policy: module, random or seer")
	c.Flags().BoolVar(&live, "live", false, "run on loopback sockets as well; only for scripts that one machine can run")
	c.Flags().IntVar(&cores, "cores", 0, "number of cores (0: as many as are useful); the results do not depend on it")
	c.Flags().IntVar(&seeds, "seeds", 1, "number of runs, each with the next seed")
	c.Flags().StringVar(&file, "json", "", "file for the results, for compare and report")
	c.Flags().StringVar(&trace, "trace", "", "file for one line of JSON per query; runs on one core")
	return c
}

func writeJSON(path string, v any) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(json.NewEncoder(f).Encode(v), f.Close())
}

// printResult prints the result of a run, with up to five of the rules broken.
func printResult(out io.Writer, r *play.Result) {
	fmt.Fprintf(out, "%s, seed %d, %s: %v simulated, trace hash %s\n", r.Name, r.Seed, r.Policy, r.Played.Round(time.Millisecond), r.Hash)
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "tenant\ttype\tasked\tservice\tin target\tlate\tpartial\tshed\tfailed\tp50\tp99\tp99.9\t")
	row := func(tenant, typ string, c *play.Counts, l *play.Latency) {
		share := func(n int64) string { return fmt.Sprintf("%.2f%%", 100*float64(n)/float64(max(1, c.Asked))) }
		q := func(p float64) time.Duration { return l.Quantile(p).Round(100 * time.Microsecond) }
		fmt.Fprintf(w, "%s\t%s\t%d\t%.4f\t%s\t%s\t%s\t%s\t%s\t%v\t%v\t%v\t\n", tenant, typ, c.Asked, c.Service(), share(c.InTarget),
			share(c.Late), share(c.Partial), share(c.Shed), share(c.Failed), q(0.5), q(0.99), q(0.999))
	}
	for i := range r.Rows {
		row(r.Rows[i].Tenant, r.Rows[i].Type, &r.Rows[i].Counts, &r.Rows[i].Latency)
	}
	row("all", "all", &r.Counts, &r.Latency)
	w.Flush()
	work := &r.Work
	fmt.Fprintf(out, "worst ten seconds %.4f; %d tries; %d calls with %d shard requests (%.1f%% extra attempts), %d served, %d failed, %d rejected, %d unanswered; %d connections opened, %d reset\n",
		r.Worst, r.Counts.Tries, work.Calls, work.Parts, 100*float64(work.Further)/float64(max(1, work.Parts)), work.Served, work.Broke, work.Skipped, work.Swallowed, work.Dials, work.Resets)
	if c := r.Reads; c != nil {
		fmt.Fprintf(out, "read hints: %d tries, %d answered, %d rejected; %d results checked against the writes: %d stale, %d backward, %d older than stated, %d behind as stated; ",
			c.Hinted, c.Answered, c.Refused, c.Checked, c.Stale, c.Backward, c.Understated, c.Behind)
		fmt.Fprintf(out, "%d stale answers rejected, %d shard requests spilled from a hot pin, %d KB of position reports\n", c.Pins.Stale, c.Pins.Spilled, c.Facts>>10)
	}
	fmt.Fprintf(out, "rules broken %d times\n", r.Broken)
	for i, b := range r.Breaches {
		if i == 5 {
			fmt.Fprintln(out, "  ...")
			break
		}
		fmt.Fprintf(out, "  %v rule %d: %s\n", b.At.Round(time.Millisecond), b.Rule, b.Text)
	}
}
