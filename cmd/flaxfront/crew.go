package main

// This file implements the commands members and duties, which print what a running broker knows of its tier.

import (
	"errors"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"flaxfront/internal/server"
)

// fetchMembership returns the membership state of a running broker.
func fetchMembership(config, address string) (*server.MembershipState, error) {
	counters, err := fetchCounters(config, address)
	if err != nil {
		return nil, err
	}
	if counters.Queries.Membership == nil {
		return nil, errors.New("membership is off on the broker: crew.on is false")
	}
	return counters.Queries.Membership, nil
}

func membersCommand(config *string) *cobra.Command {
	var address string
	c := &cobra.Command{
		Use:   "members",
		Short: "Print the members of the tier, with their states, as a running broker sees them",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			state, err := fetchMembership(*config, address)
			if err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			counts := &state.Counts
			fmt.Fprintf(out, "as seen by %s: %d probes, %d failed, %d suspicions, %d declared dead, %d refutations, local health multiplier %d; %d datagrams sent, %d received, %d malformed\n",
				state.Self, counts.Probes, counts.FailedProbes, counts.Suspicions, counts.DeclaredDead, counts.Refutations, counts.LocalHealthMultiplier, counts.DatagramsSent, counts.DatagramsReceived, counts.MalformedDatagrams)
			w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
			fmt.Fprintln(w, "NAME\tADDRESS\tSTATE\tFOR\tINCARNATION\tWEIGHT")
			for _, m := range state.Members {
				fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%d\t%d\n", m.Name, m.Address, m.State, (state.Now - m.StateChangedAt).Round(time.Second), m.Incarnation, m.Weight)
			}
			return w.Flush()
		},
	}
	c.Flags().StringVar(&address, "at", "", "client address of the broker (default: as in the configuration)")
	return c
}

func dutiesCommand(config *string) *cobra.Command {
	var address string
	c := &cobra.Command{
		Use:   "duties",
		Short: "Print which broker of the tier owns which job, and when the job last ran",
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
			fmt.Fprintln(w, "JOB\tEVERY\tOWNER\tFENCE\tLAST RUN\tNEXT\tRUNS HERE\tREJECTED HERE")
			for _, d := range state.Ownership {
				owner, last, next := names[d.Owner], "never", "-"
				if owner == "" {
					owner = "none yet"
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
	c.Flags().StringVar(&address, "at", "", "client address of the broker (default: as in the configuration)")
	return c
}
