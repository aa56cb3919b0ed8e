package main

// This file owns the command on the door of a broker that runs.

import (
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
)

func tenantsCommand(config *string) *cobra.Command {
	var at string
	c := &cobra.Command{
		Use:   "tenants",
		Short: "Print who asks most of a broker that runs, and what its door did",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			counters, err := countersOf(*config, at)
			if err != nil {
				return err
			}
			d := counters.Queries.Admission
			if d == nil {
				return fmt.Errorf("the broker has no door: door.on is false")
			}
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "%.0f of %.0f parts in hand, %.0f a second done, baseline %v\n", d.InFlight, d.Limit*d.DelayFactor, d.Rate,
				d.Baseline.Round(time.Millisecond))
			if d.DelayFactor > 1.5 {
				fmt.Fprintf(out, "the broker itself is late: %.1f parts in hand for each at the store\n", d.DelayFactor)
			}
			total := 0.0
			for i := range d.Tenants {
				total += d.Tenants[i].Work
			}
			w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
			fmt.Fprintln(w, "TENANT\tSHARE\tENTERED\tWAITED\tWAIT NOW\tTURNED AWAY\tRAN OUT\tREPEATS")
			for _, i := range d.TenantsByWork() {
				t := &d.Tenants[i]
				fmt.Fprintf(w, "%s\t%.1f%%\t%d\t%d\t%d\t%d\t%d\t%d\n", d.TenantNames[i], 100*t.Work/max(1, total), t.Admitted, t.AdmittedFromQueue, t.Queued,
					t.Rejected, t.Expired, t.Retries)
			}
			return w.Flush()
		},
	}
	c.Flags().StringVar(&at, "at", "", "the broker's client address (default: the configuration's)")
	return c
}
