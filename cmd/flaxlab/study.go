package main

// This file implements the commands compare, report and hunt.

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"runtime"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"flaxfront/internal/lab/hunt"
	"flaxfront/internal/lab/judge"
	"flaxfront/internal/lab/play"
	"flaxfront/internal/lab/report"
	"flaxfront/internal/lab/script"
)

// readResults reads the results that play --json wrote.
func readResults(path string) (all []*play.Result, err error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if err = json.Unmarshal(raw, &all); err != nil || len(all) == 0 {
		return nil, fmt.Errorf("%s: no results, or invalid ones: %d read, error %v", path, len(all), err)
	}
	return all, nil
}

// playSeeds runs a script with consecutive seeds, each run on one core, and as many at once as there are cores.
func playSeeds(s *script.Script, policy play.Policy, seeds int) ([]*play.Result, error) {
	all, errs := make([]*play.Result, seeds), make([]error, seeds)
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	var wait sync.WaitGroup
	for i := range seeds {
		seeded := *s
		seeded.Seed += i
		slots <- struct{}{}
		wait.Go(func() {
			all[i], errs[i] = play.Play(&seeded, play.Options{Cores: 1, Policy: policy})
			<-slots
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
		Short: "Compare two builds by the results of play --json, or two policies on one script",
		Long: "Results of the same script and seed are paired. Results in virtual time do not depend on the machine, so files from\n" +
			"two machines can be compared.",
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
					return fmt.Errorf("--policies must name two of module, random, seer")
				}
				if a, err = playSeeds(s, play.Policy(policies[0]), seeds); err == nil {
					b, err = playSeeds(s, play.Policy(policies[1]), seeds)
				}
			}
			if err != nil {
				return err
			}
			d, err := judge.Compare(a, b)
			if err != nil {
				return err
			}
			fmt.Fprintln(out, judge.Summary(d))
			w := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
			fmt.Fprintln(w, "figure\tfirst\tsecond\tdifference\t95% interval\t\t")
			for _, x := range d {
				word := "no significant difference"
				switch {
				case x.Equal:
					word = "the same"
				case x.Significant && x.Better:
					word = "better"
				case x.Significant:
					word = "worse"
				}
				fmt.Fprintf(w, "%s\t%.4f\t%.4f\t%+.4f\t%+.4f to %+.4f\t%s\t\n", x.Metric.Name, x.A, x.B, x.Mean, x.Low, x.High, word)
			}
			w.Flush()
			if html == "" {
				return nil
			}
			return writeReport(html, &report.Page{Title: a[0].Name + ", compared", Differences: d, Summary: judge.Summary(d),
				Results: []*play.Result{a[0], b[0]}})
		},
	}
	c.Flags().IntVar(&seeds, "seeds", 16, "number of pairs, with a script")
	c.Flags().StringSliceVar(&policies, "policies", []string{"random", "module"}, "the two policies that run a script")
	c.Flags().StringVar(&html, "html", "", "file for an HTML report")
	return c
}

func writeReport(path string, p *report.Page) error {
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
		Short: "Write an HTML report on a run: events, the brokers' view of them, and the results of queries",
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
				stop, end := stopOnSignal(cmd.Context())
				defer end()
				r, err := play.Play(s, play.Options{Policy: play.Module, Stop: stop})
				if err != nil {
					return err
				}
				printResult(cmd.OutOrStdout(), r)
				p.Title, p.Purpose, p.Results = s.Name, s.Purpose, []*play.Result{r}
			}
			return writeReport(html, p)
		},
	}
	c.Flags().StringVar(&html, "html", "report.html", "file for the report")
	return c
}

func huntCommand() *cobra.Command {
	var file string
	o := hunt.Options{Policy: play.Module}
	c := &cobra.Command{
		Use:   "hunt SCRIPT",
		Short: "Search random variants of a script for one that breaks a rule or loses most service, and reduce it to what matters",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			slog.SetDefault(slog.New(slog.DiscardHandler))
			base, err := script.Read(args[0])
			if err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			o.Log = func(format string, args ...any) { fmt.Fprintf(out, format+"\n", args...) }
			o.Cores = runtime.GOMAXPROCS(0)
			f, err := hunt.Hunt(base, o)
			if err != nil {
				return err
			}
			if f, err = hunt.Shrink(f, o); err != nil {
				return err
			}
			f.Script.Name = "hunted: " + base.Name
			fmt.Fprintf(out, "worst: service %.4f, seer %.4f, rules broken %d\n", f.Service, f.Oracle, f.Broken)
			if file == "" {
				fmt.Fprint(out, f.Script.Text())
				return nil
			}
			return os.WriteFile(file, []byte(f.Script.Text()), 0o644)
		},
	}
	c.Flags().IntVar(&o.Scripts, "days", 200, "number of variants that are run before the worst is reduced")
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of the search")
	c.Flags().BoolVar(&o.OnlyRules, "rules", false, "look only for broken rules, not for lost service; twice as fast")
	c.Flags().StringVar(&file, "out", "", "file for the reduced script (default: standard output)")
	return c
}
