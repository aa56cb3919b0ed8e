package main

// This file implements the command tenants, which prints the admission state of a running broker.

import (
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
)

func tenantsCommand(config *string) *cobra.Command {
	var address string
	c := &cobra.Command{
		Use:   "tenants",
		Short: "Print the load of each tenant on a running broker, and how its queries were admitted",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			counters, err := fetchCounters(*config, address)
			if err != nil {
				return err
			}
			admission := counters.Queries.Admission
			if admission == nil {
				return fmt.Errorf("admission is off on the broker: door.on is false")
			}
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "%.0f of at most %.0f shard requests in flight, %.0f completed per second, baseline delay %v\n", admission.InFlight, admission.Limit*admission.DelayFactor, admission.Rate,
				admission.Baseline.Round(time.Millisecond))
			if admission.DelayFactor > 1.5 {
				fmt.Fprintf(out, "the broker itself is slow: %.1f shard requests in flight for each at the store\n", admission.DelayFactor)
			}
			total := 0.0
			for i := range admission.Tenants {
				total += admission.Tenants[i].Work
			}
			w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
			fmt.Fprintln(w, "TENANT\tSHARE\tADMITTED\tFROM QUEUE\tQUEUED NOW\tREJECTED\tEXPIRED\tRETRIES")
			for _, i := range admission.TenantsByWork() {
				t := &admission.Tenants[i]
				fmt.Fprintf(w, "%s\t%.1f%%\t%d\t%d\t%d\t%d\t%d\t%d\n", admission.TenantNames[i], 100*t.Work/max(1, total), t.Admitted, t.AdmittedFromQueue, t.Queued,
					t.Rejected, t.Expired, t.Retries)
			}
			return w.Flush()
		},
	}
	c.Flags().StringVar(&address, "at", "", "client address of the broker (default: as in the configuration)")
	return c
}
