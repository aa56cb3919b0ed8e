package main

// This file runs a script on sockets, for comparison with the same script in virtual time.

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"text/tabwriter"
	"time"

	"flaxfront/internal/lab"
	"flaxfront/internal/lab/play"
	"flaxfront/internal/lab/script"
)

// playOnSockets runs a script on sockets and in virtual time, and prints both results.
func playOnSockets(out io.Writer, s *script.Script) error {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	dir, err := os.MkdirTemp("", "flaxlab")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	stage, err := lab.NewRehearsal(dir, s)
	if err != nil {
		return err
	}
	defer stage.Close()
	var addresses []string
	for i := range s.Brokers.Count {
		config, listen, err := stage.WriteBrokerConfig(fmt.Sprintf("n%d", i))
		if err != nil {
			return err
		}
		l, err := startBroker(config, "")
		if err != nil {
			return err
		}
		defer l.shutDown()
		addresses = append(addresses, listen)
	}
	time.Sleep(300 * time.Millisecond)
	outcome := stage.Run(addresses)
	result, err := play.Play(s, play.Options{Policy: play.Module})
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, s.Name+"\tasked\tservice\tin target\tlate\tshed\tfailed\ttries\tp50\tp99\trules broken\t")
	share := func(n, of int) string { return fmt.Sprintf("%.2f%%", 100*float64(n)/float64(max(1, of))) }
	ms := func(d time.Duration) string { return d.Round(100 * time.Microsecond).String() }
	fmt.Fprintf(w, "sockets\t%d\t%.4f\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%d\t\n", outcome.Asked, outcome.Service, share(outcome.InTarget, outcome.Asked), share(outcome.Late, outcome.Asked),
		share(outcome.Shed, outcome.Asked), share(outcome.Failed, outcome.Asked), outcome.Tries, ms(time.Duration(outcome.Latency.ValueAtQuantile(50))*time.Microsecond),
		ms(time.Duration(outcome.Latency.ValueAtQuantile(99))*time.Microsecond), len(outcome.Broken))
	c := &result.Counts
	fmt.Fprintf(w, "virtual time\t%d\t%.4f\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%d\t\n", c.Asked, c.Service(), share(int(c.InTarget), int(c.Asked)),
		share(int(c.Late), int(c.Asked)), share(int(c.Shed), int(c.Asked)), share(int(c.Failed), int(c.Asked)), c.Tries,
		ms(result.Latency.Quantile(0.5)), ms(result.Latency.Quantile(0.99)), result.Broken)
	w.Flush()
	for i, b := range outcome.Broken {
		if i < 5 {
			fmt.Fprintln(out, " ", b)
		}
	}
	if len(outcome.Broken) > 0 {
		return fmt.Errorf("rules were broken %d times on sockets", len(outcome.Broken))
	}
	return nil
}
