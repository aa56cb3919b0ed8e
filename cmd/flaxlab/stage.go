package main

// This file owns rehearsals on real sockets, beside the same script in virtual time.

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

// playLive plays a script on sockets and in virtual time, and prints both.
func playLive(out io.Writer, s *script.Script) error {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	dir, err := os.MkdirTemp("", "flaxlab")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	st, err := lab.NewRehearsal(dir, s)
	if err != nil {
		return err
	}
	defer st.Close()
	var at []string
	for i := range s.Brokers.Count {
		config, listen, err := st.WriteBrokerConfig(fmt.Sprintf("n%d", i))
		if err != nil {
			return err
		}
		l, err := startBroker(config, "")
		if err != nil {
			return err
		}
		defer l.end()
		at = append(at, listen)
	}
	time.Sleep(300 * time.Millisecond)
	o := st.Run(at)
	r, err := play.Play(s, play.Options{Policy: play.Module})
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, s.Name+"\tasked\tservice\tin target\tlate\tshed\tfailed\ttries\tp50\tp99\trules broken\t")
	share := func(n, of int) string { return fmt.Sprintf("%.2f%%", 100*float64(n)/float64(max(1, of))) }
	ms := func(d time.Duration) string { return d.Round(100 * time.Microsecond).String() }
	fmt.Fprintf(w, "sockets\t%d\t%.4f\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%d\t\n", o.Asked, o.Service, share(o.InTarget, o.Asked), share(o.Late, o.Asked),
		share(o.Shed, o.Asked), share(o.Failed, o.Asked), o.Tries, ms(time.Duration(o.Latency.ValueAtQuantile(50))*time.Microsecond),
		ms(time.Duration(o.Latency.ValueAtQuantile(99))*time.Microsecond), len(o.Broken))
	c := &r.Counts
	fmt.Fprintf(w, "virtual time\t%d\t%.4f\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%d\t\n", c.Asked, c.Service(), share(int(c.InTarget), int(c.Asked)),
		share(int(c.Late), int(c.Asked)), share(int(c.Shed), int(c.Asked)), share(int(c.Failed), int(c.Asked)), c.Tries,
		ms(r.Latency.Quantile(0.5)), ms(r.Latency.Quantile(0.99)), r.Broken)
	w.Flush()
	for i, b := range o.Broken {
		if i < 5 {
			fmt.Fprintln(out, " ", b)
		}
	}
	if len(o.Broken) > 0 {
		return fmt.Errorf("%d times a rule was broken on sockets", len(o.Broken))
	}
	return nil
}
