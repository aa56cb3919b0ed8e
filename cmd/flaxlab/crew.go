package main

// This file implements the command crew, which simulates membership and ownership.

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
		Short: "Simulate membership and ownership: three ways to detect members, and owners that are killed",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			out := cmd.OutOrStdout()
			broken := 0
			for _, loss := range []float64{0, 0.1, 0.3} {
				broken += crew.KillOwners(out, kills, loss)
			}
			crew.CompareDetectors(out, sizes, seeds)
			if broken > 0 {
				return fmt.Errorf("in %d tiers a job ran too late or too often", broken)
			}
			return nil
		},
	}
	c.Flags().IntSliceVar(&sizes, "brokers", []int{5, 50}, "numbers of brokers in a tier")
	c.Flags().IntVar(&seeds, "seeds", 4, "number of tiers of each size and packet loss")
	c.Flags().IntVar(&kills, "kills", 1000, "number of tiers of five brokers whose owner is killed, for each packet loss")
	return c
}
