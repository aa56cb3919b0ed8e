package main

// This file owns the experiment on brokers that keep one another's company.

import (
	"fmt"

	"github.com/spf13/cobra"

	"flaxfront/internal/lab/crew"
)

func crewCommand() *cobra.Command {
	var sizes []int
	var seeds, kills int
	c := &cobra.Command{
		Use:   "crew",
		Short: "Members and duties in virtual time: three ways to know who is there, and owners that are killed",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			out := cmd.OutOrStdout()
			broken := 0
			for _, loss := range []float64{0, 0.1, 0.3} {
				broken += crew.KillOwners(out, kills, loss)
			}
			crew.CompareDetectors(out, sizes, seeds)
			if broken > 0 {
				return fmt.Errorf("%d tiers kept a duty waiting, or did it too often", broken)
			}
			return nil
		},
	}
	c.Flags().IntSliceVar(&sizes, "brokers", []int{5, 50}, "sizes of tiers")
	c.Flags().IntVar(&seeds, "seeds", 4, "tiers of each size and loss")
	c.Flags().IntVar(&kills, "kills", 1000, "tiers of five whose owner is killed, for each loss")
	return c
}
