package main

// This file owns the commands that play many rehearsals: compare, sweep, hunt, report.

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"flaxfront/internal/lab/hunt"
	"flaxfront/internal/lab/judge"
	"flaxfront/internal/lab/play"
	"flaxfront/internal/lab/report"
	"flaxfront/internal/lab/script"
)

func readResults(path string) (all []*play.Result, err error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if err = json.Unmarshal(raw, &all); err != nil || len(all) == 0 {
		return nil, fmt.Errorf("%s: %d results: %v", path, len(all), err)
	}
	return all, nil
}

// many plays a script with some seeds, as many at once as there are cores, each on one.
func many(s *script.Script, policy play.Policy, seeds int) ([]*play.Result, error) {
	all, errs := make([]*play.Result, seeds), make([]error, seeds)
	places := make(chan struct{}, runtime.GOMAXPROCS(0))
	var wait sync.WaitGroup
	for i := range seeds {
		one := *s
		one.Seed += i
		places <- struct{}{}
		wait.Go(func() {
			all[i], errs[i] = play.Play(&one, play.Options{Cores: 1, Policy: policy})
			<-places
		})
	}
	wait.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return all, nil
}

func compareCommand() *cobra.Command {
	var seeds int
	var policies []string
	var html string
	c := &cobra.Command{
		Use:   "compare A.json B.json | compare SCRIPT",
		Short: "Tell whether two builds differ, by the results of play --json, or two policies on one script",
		Long: "Results of the same script and seed are paired. In virtual time they do not depend on the machine, so that files\n" +
			"of two machines may be compared.",
		Args: cobra.RangeArgs(1, 2),
		RunE: func(cmd *cobra.Command, args []string) (err error) {
			slog.SetDefault(slog.New(slog.DiscardHandler))
			out := cmd.OutOrStdout()
			var a, b []*play.Result
			if len(args) == 2 {
				if a, err = readResults(args[0]); err == nil {
					b, err = readResults(args[1])
				}
			} else {
				var s *script.Script
				if s, err = script.Read(args[0]); err != nil {
					return err
				}
				if len(policies) != 2 {
					return fmt.Errorf("--policies names two of module, random, seer")
				}
				if a, err = many(s, play.Policy(policies[0]), seeds); err == nil {
					b, err = many(s, play.Policy(policies[1]), seeds)
				}
			}
			if err != nil {
				return err
			}
			d, err := judge.Compare(a, b)
			if err != nil {
				return err
			}
			fmt.Fprintln(out, judge.Verdict(d))
			w := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
			fmt.Fprintln(w, "figure\tfirst\tsecond\tdifference\t95% interval\t\t")
			for _, x := range d {
				word := "no difference shown"
				switch {
				case x.Equal:
					word = "the same"
				case x.Real && x.Better:
					word = "better"
				case x.Real:
					word = "worse"
				}
				fmt.Fprintf(w, "%s\t%.4f\t%.4f\t%+.4f\t%+.4f to %+.4f\t%s\t\n", x.Figure.Name, x.A, x.B, x.Mean, x.Low, x.High, word)
			}
			w.Flush()
			if html == "" {
				return nil
			}
			return writePage(html, &report.Page{Title: a[0].Name + ", compared", Against: d, Verdict: judge.Verdict(d),
				Results: []*play.Result{a[0], b[0]}})
		},
	}
	c.Flags().IntVar(&seeds, "seeds", 16, "pairs, of a script")
	c.Flags().StringSliceVar(&policies, "policies", []string{"random", "module"}, "the two that play a script")
	c.Flags().StringVar(&html, "html", "", "file for a page")
	return c
}

func writePage(path string, p *report.Page) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := report.Write(f, p); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

func reportCommand() *cobra.Command {
	var html string
	c := &cobra.Command{
		Use:   "report SCRIPT | report RESULTS.json",
		Short: "Write a page on a rehearsal: what happened, what brokers thought, what became of searches",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			slog.SetDefault(slog.New(slog.DiscardHandler))
			p := &report.Page{}
			if strings.HasSuffix(args[0], ".json") {
				all, err := readResults(args[0])
				if err != nil {
					return err
				}
				p.Title, p.Results = all[0].Name, all
			} else {
				s, err := script.Read(args[0])
				if err != nil {
					return err
				}
				stop, end := running(cmd.Context())
				defer end()
				r, err := play.Play(s, play.Options{Policy: play.Module, Stop: stop})
				if err != nil {
					return err
				}
				summary(cmd.OutOrStdout(), r)
				p.Title, p.Teaches, p.Results = s.Name, s.Teaches, []*play.Result{r}
			}
			return writePage(html, p)
		},
	}
	c.Flags().StringVar(&html, "html", "report.html", "file for the page")
	return c
}

func sweepCommand() *cobra.Command {
	var vary, at, html string
	var seeds int
	var policies []string
	c := &cobra.Command{
		Use:   "sweep SCRIPT",
		Short: "Play a rehearsal at several loads, fleet sizes or sizes of its troubles, and print curves",
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
					return fmt.Errorf("--at: %q is no number above 0", text)
				}
				steps = append(steps, x)
			}
			page := &report.Page{Title: base.Name + ", swept", Teaches: base.Teaches, Varied: vary}
			for _, policy := range policies {
				curve := report.Curve{Name: policy}
				for _, x := range steps {
					s, err := varied(base, vary, x)
					if err != nil {
						return err
					}
					all, err := many(s, play.Policy(policy), seeds)
					if err != nil {
						return err
					}
					curve.Points = append(curve.Points, point(x, s.For, all))
				}
				page.Curves = append(page.Curves, curve)
			}
			printCurves(cmd.OutOrStdout(), vary, page.Curves)
			if html == "" {
				return nil
			}
			return writePage(html, page)
		},
	}
	c.Flags().StringVar(&vary, "vary", "load", "what: load (times the script's), nodes (with load and brokers in step), brokers, or trouble (times its share, or what its factor adds)")
	c.Flags().StringVar(&at, "at", "0.25,0.5,0.75,1,1.25,1.5,2,3", "the steps")
	c.Flags().IntVar(&seeds, "seeds", 4, "plays of each step")
	c.Flags().StringSliceVar(&policies, "policies", []string{"module"}, "what decides, a curve each")
	c.Flags().StringVar(&html, "html", "", "file for a page")
	return c
}

// varied is a script with one thing changed.
func varied(base *script.Script, vary string, x float64) (*script.Script, error) {
	s := *base
	s.Troubles = append([]script.Trouble(nil), base.Troubles...)
	switch vary {
	case "load":
		s.Load.Rate *= x
	case "nodes":
		s.Fleet.Nodes, s.Fleet.Cells = int(float64(s.Fleet.Nodes)*x), max(1, int(float64(s.Fleet.Cells)*x))
		s.Brokers.Count, s.Load.Rate = max(1, int(float64(s.Brokers.Count)*x)), s.Load.Rate*x
	case "brokers":
		s.Brokers.Count = max(1, int(float64(s.Brokers.Count)*x))
	case "trouble":
		for i := range s.Troubles {
			t := &s.Troubles[i]
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

func point(x float64, last time.Duration, all []*play.Result) report.Point {
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

func huntCommand() *cobra.Command {
	var file string
	o := hunt.Options{Policy: play.Module}
	c := &cobra.Command{
		Use:   "hunt SCRIPT",
		Short: "Search for the day on which a rule breaks or most is lost, and cut it down to what matters",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			slog.SetDefault(slog.New(slog.DiscardHandler))
			base, err := script.Read(args[0])
			if err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			o.Say = func(format string, args ...any) { fmt.Fprintf(out, format+"\n", args...) }
			o.Cores = runtime.GOMAXPROCS(0)
			f, err := hunt.Hunt(base, o)
			if err != nil {
				return err
			}
			if f, err = hunt.Shrink(f, o); err != nil {
				return err
			}
			f.Script.Name = "hunted: " + base.Name
			fmt.Fprintf(out, "worst: service %.4f, seer %.4f, rules broken %d\n", f.Service, f.Seer, f.Broken)
			if file == "" {
				fmt.Fprint(out, f.Script.Text())
				return nil
			}
			return os.WriteFile(file, []byte(f.Script.Text()), 0o644)
		},
	}
	c.Flags().IntVar(&o.Days, "days", 200, "days that are played before the worst is cut down")
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "of the hunt")
	c.Flags().BoolVar(&o.Rules, "rules", false, "only broken rules count; twice as fast")
	c.Flags().StringVar(&file, "out", "", "file for the smallest script (default: printed)")
	return c
}
