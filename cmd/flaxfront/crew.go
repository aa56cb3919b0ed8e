package main

// This file owns the commands on the tier of a broker that runs.

import (
	"errors"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"flaxfront/internal/server"
)

func fetchMembership(config, address string) (*server.MembershipState, error) {
	counters, err := fetchCounters(config, address)
	if err != nil {
		return nil, err
	}
	if counters.Queries.Membership == nil {
		return nil, errors.New("the broker keeps no company: crew.on is false")
	}
	return counters.Queries.Membership, nil
}

func membersCommand(config *string) *cobra.Command {
	var address string
	c := &cobra.Command{
		Use:   "members",
		Short: "Print which brokers of the tier a broker that runs knows, and what it thinks of them",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			state, err := fetchMembership(*config, address)
			if err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			counts := &state.Counts
			fmt.Fprintf(out, "as %s sees it: %d probes, %d missed, %d suspected, %d buried, refuted %d times, late %d; %d datagrams made, %d heard, %d bad\n",
				state.Self, counts.Probes, counts.FailedProbes, counts.Suspicions, counts.DeclaredDead, counts.Refutations, counts.LocalHealthMultiplier, counts.DatagramsSent, counts.DatagramsReceived, counts.MalformedDatagrams)
			w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
			fmt.Fprintln(w, "NAME\tADDRESS\tSTATE\tFOR\tINCARNATION\tWEIGHT")
			for _, m := range state.Members {
				fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%d\t%d\n", m.Name, m.Address, m.State, (state.Now - m.StateChangedAt).Round(time.Second), m.Incarnation, m.Weight)
			}
			return w.Flush()
		},
	}
	c.Flags().StringVar(&address, "at", "", "the broker's client address (default: the configuration's)")
	return c
}

func dutiesCommand(config *string) *cobra.Command {
	var address string
	c := &cobra.Command{
		Use:   "duties",
		Short: "Print which broker of the tier does what, since when, and when it did it last",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			state, err := fetchMembership(*config, address)
			if err != nil {
				return err
			}
			names := map[uint32]string{}
			for _, m := range state.Members {
				names[uint32(m.ID)] = m.Name
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 8, 2, ' ', 0)
			fmt.Fprintln(w, "DUTY\tEVERY\tOWNER\tNUMBER\tLAST RUN\tNEXT\tRUNS HERE\tREFUSED HERE")
			for _, d := range state.Ownership {
				owner, last, next := names[d.Owner], "never", "-"
				if owner == "" {
					owner = "nobody yet"
				}
				if d.RunCount > 0 {
					last = (state.Now - d.LastRunAt).Round(100*time.Millisecond).String() + " ago"
				}
				if d.Owned {
					next = "in " + max(0, d.DueAt-state.Now).Round(100*time.Millisecond).String()
				}
				fmt.Fprintf(w, "%s\t%v\t%s\t%d\t%s\t%s\t%d\t%d\n", d.Name, d.Period, owner, d.Fence, last, next, d.OwnRuns, d.RejectedRuns)
			}
			return w.Flush()
		},
	}
	c.Flags().StringVar(&address, "at", "", "the broker's client address (default: the configuration's)")
	return c
}
