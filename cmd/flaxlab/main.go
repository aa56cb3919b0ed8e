// Command flaxlab runs simulations and experiments on simulated servers; package lab implements them.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"flaxfront/internal/lab"
)

func main() {
	root := &cobra.Command{Use: "flaxlab", Short: "Run simulations, load and experiments; all servers are simulated",
		SilenceUsage: true, SilenceErrors: true}
	var seeds, brokers int
	var rate float64
	starts := &cobra.Command{
		Use:   "starts",
		Short: "Simulate starts without discovery: three policies, lists of four ages, three shares of wrong entries",
		Args:  cobra.NoArgs,
		Run:   func(cmd *cobra.Command, _ []string) { lab.CompareStarts(cmd.OutOrStdout(), seeds, brokers, rate) },
	}
	starts.Flags().IntVar(&seeds, "seeds", 20, "starts for each line; every second one with cold machines")
	starts.Flags().IntVar(&brokers, "brokers", 3, "number of brokers that start together")
	starts.Flags().Float64Var(&rate, "rate", 120, "queries per second of all brokers, for sixteen machines of two cores")
	root.AddCommand(checkCommand(), capacityCommand(), crewCommand(), playCommand(), compareCommand(), sweepCommand(), huntCommand(), reportCommand(),
		starts, upCommand(), herdCommand(), returnsCommand(), sitesCommand(), floodCommand(), queuesCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "flaxlab:", err)
		os.Exit(1)
	}
}
