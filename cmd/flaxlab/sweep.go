package main

// This file implements the command sweep, which runs a script at several values of one parameter.

import (
	"fmt"
	"io"
	"log/slog"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"flaxfront/internal/lab/play"
	"flaxfront/internal/lab/report"
	"flaxfront/internal/lab/script"
)

func sweepCommand() *cobra.Command {
	var vary, at, html string
	var seeds int
	var policies []string
	c := &cobra.Command{
		Use:   "sweep SCRIPT",
		Short: "Run a script at several loads, numbers of nodes or brokers, or sizes of its troubles, and print curves",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			slog.SetDefault(slog.New(slog.DiscardHandler))
			base, err := script.Read(args[0])
			if err != nil {
				return err
			}
			var steps []float64
			for text := range strings.SplitSeq(at, ",") {
				x, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
				if err != nil || x <= 0 {
					return fmt.Errorf("--at: %q is not a number above 0", text)
				}
				steps = append(steps, x)
			}
			page := &report.Page{Title: base.Name + ", swept", Purpose: base.Purpose, Varied: vary}
			for _, policy := range policies {
				curve := report.Curve{Name: policy}
				for _, x := range steps {
					s, err := varyScript(base, vary, x)
					if err != nil {
						return err
					}
					all, err := playSeeds(s, play.Policy(policy), seeds)
					if err != nil {
						return err
					}
					curve.Points = append(curve.Points, curvePoint(x, s.Length, all))
				}
				page.Curves = append(page.Curves, curve)
			}
			printCurves(cmd.OutOrStdout(), vary, page.Curves)
			if html == "" {
				return nil
			}
			return writeReport(html, page)
		},
	}
	c.Flags().StringVar(&vary, "vary", "load", "parameter that is multiplied: load, nodes (with load and brokers in proportion), brokers, or trouble (its share, and the excess of its factor over 1)")
	c.Flags().StringVar(&at, "at", "0.25,0.5,0.75,1,1.25,1.5,2,3", "multiples of the script's value")
	c.Flags().IntVar(&seeds, "seeds", 4, "number of runs at each value")
	c.Flags().StringSliceVar(&policies, "policies", []string{"module"}, "routing policies, with a curve each")
	c.Flags().StringVar(&html, "html", "", "file for an HTML report")
	return c
}

// varyScript returns a copy of a script with one parameter multiplied by x.
func varyScript(base *script.Script, vary string, x float64) (*script.Script, error) {
	s := *base
	s.Faults = append([]script.Fault(nil), base.Faults...)
	switch vary {
	case "load":
		s.Load.Rate *= x
	case "nodes":
		s.Fleet.Nodes, s.Fleet.Cells = int(float64(s.Fleet.Nodes)*x), max(1, int(float64(s.Fleet.Cells)*x))
		s.Brokers.Count, s.Load.Rate = max(1, int(float64(s.Brokers.Count)*x)), s.Load.Rate*x
	case "brokers":
		s.Brokers.Count = max(1, int(float64(s.Brokers.Count)*x))
	case "trouble":
		for i := range s.Faults {
			t := &s.Faults[i]
			t.Share, t.Factor = min(1, t.Share*x), 1+(t.Factor-1)*x
		}
	default:
		return nil, fmt.Errorf("--vary: %q is none of load, nodes, brokers, trouble", vary)
	}
	if field, err := s.Check(); err != nil {
		return nil, fmt.Errorf("%s times %v: %s: %w", vary, x, field, err)
	}
	return &s, nil
}

// curvePoint returns the point of a curve from the results of all runs at one value.
func curvePoint(x float64, last time.Duration, all []*play.Result) report.Point {
	p := report.Point{X: x}
	var c play.Counts
	var l play.Latency
	for _, r := range all {
		c.Add(&r.Counts)
		l.Add(&r.Latency)
		p.Broken += r.Broken
	}
	seconds := last.Seconds() * float64(len(all))
	ms := func(q float64) float64 { return l.Quantile(q).Seconds() * 1000 }
	p.Offered, p.Goodput, p.Service = float64(c.Asked)/seconds, float64(c.InTarget)/seconds, c.Service()
	p.P50, p.P99, p.P999 = ms(0.5), ms(0.99), ms(0.999)
	p.Shed, p.Failed = 100*float64(c.Shed)/float64(max(1, c.Asked)), 100*float64(c.Failed)/float64(max(1, c.Asked))
	return p
}

func printCurves(out io.Writer, vary string, curves []report.Curve) {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "policy\t%s\tasked/s\tin target/s\tservice\tp50 ms\tp99 ms\tp99.9 ms\tshed %%\tfailed %%\trules broken\t\n", vary)
	for _, c := range curves {
		for _, p := range c.Points {
			fmt.Fprintf(w, "%s\t%g\t%.1f\t%.1f\t%.4f\t%.1f\t%.1f\t%.1f\t%.2f\t%.2f\t%d\t\n", c.Name, p.X, p.Offered, p.Goodput, p.Service, p.P50,
				p.P99, p.P999, p.Shed, p.Failed, p.Broken)
		}
	}
	w.Flush()
}
