package main

// This file owns the command on the door of a broker that runs.

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
		Short: "Print who asks most of a broker that runs, and what its door did",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			counters, err := fetchCounters(*config, address)
			if err != nil {
				return err
			}
			admission := counters.Queries.Admission
			if admission == nil {
				return fmt.Errorf("the broker has no door: door.on is false")
			}
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "%.0f of %.0f parts in hand, %.0f a second done, baseline %v\n", admission.InFlight, admission.Limit*admission.DelayFactor, admission.Rate,
				admission.Baseline.Round(time.Millisecond))
			if admission.DelayFactor > 1.5 {
				fmt.Fprintf(out, "the broker itself is late: %.1f parts in hand for each at the store\n", admission.DelayFactor)
			}
			total := 0.0
			for i := range admission.Tenants {
				total += admission.Tenants[i].Work
			}
			w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
			fmt.Fprintln(w, "TENANT\tSHARE\tENTERED\tWAITED\tWAIT NOW\tTURNED AWAY\tRAN OUT\tREPEATS")
			for _, i := range admission.TenantsByWork() {
				t := &admission.Tenants[i]
				fmt.Fprintf(w, "%s\t%.1f%%\t%d\t%d\t%d\t%d\t%d\t%d\n", admission.TenantNames[i], 100*t.Work/max(1, total), t.Admitted, t.AdmittedFromQueue, t.Queued,
					t.Rejected, t.Expired, t.Retries)
			}
			return w.Flush()
		},
	}
	c.Flags().StringVar(&address, "at", "", "the broker's client address (default: the configuration's)")
	return c
}
