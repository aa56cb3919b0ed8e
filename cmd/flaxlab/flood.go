package main

// This file implements the commands flood and queues, which measure fair queues: one tenant floods while another keeps its usual load.

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"flaxfront/internal/lab"
)

func floodCommand() *cobra.Command {
	var conns int
	var duration time.Duration
	c := &cobra.Command{
		Use:   "flood",
		Short: "Measure on sockets a tenant with little load beside one that floods and retries at once, with and without fair queues",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			slog.SetDefault(slog.New(slog.DiscardHandler))
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "%-22s  %-9s  %-34s  %-30s\n", "queueing", "flood", "quiet: asked, served, p50, p99", "flooder: served/s, rejected")
			for _, queueing := range []string{"first come first served", "fair queues"} {
				for _, flood := range []int{0, conns} {
					if err := runFlood(out, queueing, flood, duration); err != nil {
						return err
					}
				}
			}
			return nil
		},
	}
	c.Flags().IntVar(&conns, "conns", 150, "number of connections of the flooding tenant")
	c.Flags().DurationVar(&duration, "for", 8*time.Second, "duration of each run")
	return c
}

func queuesCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "queues",
		Short: "Simulate six ways to share a store between tenants while one floods",
		Args:  cobra.NoArgs,
		Run:   func(cmd *cobra.Command, _ []string) { lab.CompareQueuing(cmd.OutOrStdout()) },
	}
}

// runFlood runs one broker with a flood of conns connections, and prints the results of both tenants.
func runFlood(out io.Writer, queueing string, conns int, duration time.Duration) error {
	dir, err := os.MkdirTemp("", "flaxlab")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	file := "{}"
	if queueing != "first come first served" {
		file = `{"door": {"on": true}}`
	}
	s, err := newSite(dir, 8, 2, 1, file)
	if err != nil {
		return err
	}
	defer s.Close()
	s.SetMeanWork(40 * time.Millisecond) // 16 cores: enough for 200 queries of two shard requests per second
	broker, err := startBroker(s.config, s.file)
	if err != nil {
		return err
	}
	time.Sleep(300 * time.Millisecond)
	stop := make(chan struct{})
	var flooders sync.WaitGroup
	var mu sync.Mutex
	served, rejected := 0, 0
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: conns + 1}, Timeout: 5 * time.Second}
	for i := range conns {
		flooders.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				req, _ := http.NewRequest("POST", "http://"+s.at+"/find", strings.NewReader(
					`{"tablets":[{"tablet":`+strconv.Itoa(n%4)+`,"fraction":0.5},{"tablet":`+strconv.Itoa((n+1)%4)+`,"fraction":0.5}],"statement":"f"}`))
				req.Header.Set("X-Request-ID", fmt.Sprintf("f%d-%d", i, n))
				req.Header.Set("X-Timeout-Ms", "2000")
				req.Header.Set("X-Tenant-Id", "acme")
				resp, err := client.Do(req)
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				mu.Lock()
				if resp.StatusCode == 200 {
					served++
				} else {
					rejected++
				}
				mu.Unlock()
			}
		})
	}
	outcome := lab.Load{URL: "http://" + s.at, QueryType: "find", Tenant: "quiet", Shards: 4, MaxShards: 3, Rate: 20, RunTime: duration,
		Timeout: 2 * time.Second, Objective: time.Second, MinCompleteness: 1, Seed: 5}.Run()
	close(stop)
	flooders.Wait()
	client.CloseIdleConnections()
	percentileMs := func(p float64) float64 { return float64(outcome.Latency.ValueAtQuantile(p)) / 1000 }
	fmt.Fprintf(out, "%-22s  %-9d  %4d, %5.1f%%, %6.1f ms, %7.1f ms    %6.1f, %d; rules broken %d\n", queueing, conns, outcome.Asked,
		100*float64(outcome.Answered)/float64(outcome.Asked), percentileMs(50), percentileMs(99), float64(served)/duration.Seconds(), rejected, len(outcome.Violations))
	if d := broker.Counters().Queries.Admission; d != nil {
		fmt.Fprintf(out, "  limit %.0f shard requests in flight, %.0f per second, baseline delay %v\n", d.Limit, d.Rate, d.Baseline.Round(time.Millisecond))
	}
	return broker.shutDown()
}
