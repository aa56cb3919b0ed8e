package main

// This file implements the command capacity, which measures the cost of a query in a broker process on one core, with nodes that answer
// at once.

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"flaxfront/internal/lab"
)

func capacityCommand() *cobra.Command {
	var path string
	var parts, conns int
	var duration time.Duration
	var rates []float64
	c := &cobra.Command{
		Use:   "capacity",
		Short: "Measure on sockets how many queries per second a broker on one core answers, and the CPU time of each",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			slog.SetDefault(slog.New(slog.DiscardHandler))
			if path == "" {
				self, err := os.Executable()
				if err != nil {
					return err
				}
				path = filepath.Join(filepath.Dir(self), "flaxfront")
			}
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "%-12s  %10s  %10s  %8s  %8s  %8s\n", "asked/s", "answered/s", "us/query", "p50 us", "p99 us", "p99.9 us")
			for _, rate := range append(rates, 0) {
				if err := measureCapacity(cmd, path, parts, conns, duration, rate); err != nil {
					return err
				}
			}
			return nil
		},
	}
	c.Flags().StringVar(&path, "broker", "", "path of the broker (default: flaxfront in the directory of this program)")
	c.Flags().IntVar(&parts, "parts", 4, "shard requests per query")
	c.Flags().IntVar(&conns, "conns", 64, "number of client connections")
	c.Flags().DurationVar(&duration, "for", 4*time.Second, "duration of each rate")
	c.Flags().Float64SliceVar(&rates, "rates", []float64{2000, 8000}, "queries per second; a run at the maximum rate follows")
	return c
}

// measureCapacity measures one rate, or the maximum rate if rate is 0, and prints a line.
func measureCapacity(cmd *cobra.Command, path string, parts, conns int, duration time.Duration, rate float64) (err error) {
	dir, err := os.MkdirTemp("", "flaxlab")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	s, err := newSite(dir, 8, 2, 1, "{}")
	if err != nil {
		return err
	}
	defer s.Close()
	s.SetMeanWork(0)
	broker := exec.CommandContext(cmd.Context(), path, "serve", "--config", s.config)
	if err := broker.Start(); err != nil {
		return err
	}
	defer func() {
		broker.Process.Signal(syscall.SIGTERM)
		err = errors.Join(err, broker.Wait())
	}()
	time.Sleep(500 * time.Millisecond)
	load := lab.CostLoad{Addr: s.at, QueryType: "find", ShardsPerQuery: parts, Cells: s.Cells, Connections: conns, RunTime: 500 * time.Millisecond, Rate: rate}
	if _, err := load.Run(); err != nil { // warm up
		return err
	}
	before, began := cpuTime(broker.Process.Pid), time.Now()
	load.RunTime = duration
	p, err := load.Run()
	if err != nil {
		return err
	}
	cpu, took := cpuTime(broker.Process.Pid)-before, time.Since(began)
	rateText := "maximum"
	if rate > 0 {
		rateText = fmt.Sprintf("%.0f", rate)
	}
	percentile := func(x float64) int64 { return p.Latency.ValueAtQuantile(x) }
	fmt.Fprintf(cmd.OutOrStdout(), "%-12s  %10.0f  %10.1f  %8d  %8d  %8d\n", rateText, float64(p.Answered)/took.Seconds(),
		float64(cpu.Microseconds())/float64(max(1, p.Asked)), percentile(50), percentile(99), percentile(99.9))
	return nil
}

// cpuTime returns the user and system CPU time of a process, in steps of 10 ms.
func cpuTime(pid int) time.Duration {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	_, rest, _ := strings.Cut(string(raw), ") ")
	if f := strings.Fields(rest); len(f) > 13 {
		user, _ := strconv.Atoi(f[11])
		system, _ := strconv.Atoi(f[12])
		return time.Duration(user+system) * 10 * time.Millisecond
	}
	return 0
}
