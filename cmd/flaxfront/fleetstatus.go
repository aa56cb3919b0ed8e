package main

// This file prints the state of the control plane.

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"flaxfront/internal/cluster/controlplane"
	"flaxfront/internal/decision/statemachine"
)

func statusCommand(a *leaderClient) *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "status",
		Short: "Print the state agreed by a majority of the voters: brokers, release, drains, policy",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var s controlplane.Status
			if err := a.request(controlplane.VerbStatus, &controlplane.Request{}, &s); err != nil {
				return err
			}
			if asJSON {
				e := json.NewEncoder(cmd.OutOrStdout())
				e.SetIndent("", "  ")
				return e.Encode(s)
			}
			return printStatus(cmd.OutOrStdout(), &s)
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

func watchCommand(a *leaderClient) *cobra.Command {
	var every time.Duration
	c := &cobra.Command{
		Use:   "watch",
		Short: "Print a line whenever the release changes, until it is done",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			last := ""
			for {
				var s controlplane.Status
				line := ""
				if err := a.request(controlplane.VerbStatus, &controlplane.Request{}, &s); err != nil {
					line = "no answer: " + err.Error()
				} else {
					line = releaseLine(&s)
				}
				if line != last {
					fmt.Fprintln(cmd.OutOrStdout(), time.Now().Format(time.TimeOnly), line)
					last = line
				}
				if s.Release != nil && s.Release.State == statemachine.ReleaseDone {
					return nil
				}
				time.Sleep(every)
			}
		},
	}
	c.Flags().DurationVar(&every, "every", time.Second, "interval between polls")
	return c
}

// releaseLine describes the current release in one line.
func releaseLine(s *controlplane.Status) string {
	r := s.Release
	if r == nil {
		return "no release"
	}
	var count [4]int
	for _, step := range r.Steps {
		count[min(step.State, statemachine.StepFinished)]++
	}
	line := fmt.Sprintf("release %d %s to %s: %s, batch %d of %d; %d pending, %d permitted, %d out, %d finished", r.Number, r.Name, r.To, r.State,
		r.OpenBatch+1, max(1, len(r.Batches)), count[statemachine.StepPending], count[statemachine.StepPermitted], count[statemachine.StepOut], count[statemachine.StepFinished])
	if r.RollbackOf > 0 {
		line += fmt.Sprintf("; rollback of %d", r.RollbackOf)
	}
	if r.Reason != "" {
		line += "; " + r.Reason
	}
	return line
}

func printStatus(out io.Writer, s *controlplane.Status) error {
	fmt.Fprintf(out, "%s leads, term %d; entry %d, protocol %d, epoch %d\n%s\n", s.Leader, s.Term, s.Index, s.Protocol, s.Epoch, releaseLine(s))
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "BROKER\tSLOT\tZONE\tVERSION\tSTATE\tPERMIT\tINCARNATION\tLEASE")
	for _, b := range s.Brokers {
		ago := "-"
		if b.Ago >= 0 {
			ago = b.Ago.Round(10*time.Millisecond).String() + " ago"
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%d\t%d\t%s\n", b.Name, b.Slot, b.Zone, b.Version, b.State, b.Permit, b.Incarnation, ago)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, n := range s.Nodes {
		switch {
		case n.Permit > 0 && n.OutByPermit:
			fmt.Fprintf(out, "node %s is out with permit %d\n", n.Name, n.Permit)
		case n.Permit > 0:
			fmt.Fprintf(out, "node %s may go out with permit %d once it is drained\n", n.Name, n.Permit)
		case n.DownIndex > 0:
			fmt.Fprintf(out, "node %s is not ready\n", n.Name)
		}
	}
	for _, d := range s.Drains {
		state := fmt.Sprintf("waiting for slots %v", d.Awaited)
		if d.Done {
			state = "complete, no broker sends to it"
		}
		fmt.Fprintf(out, "drain %d of %s (%s): %s\n", d.Drain.Number, d.Node, d.Drain.Reason, state)
	}
	if s.Policy != nil {
		fmt.Fprintf(out, "policy %d is in force\n", s.Policy.Version)
	}
	return nil
}
