package main

// This file implements the commands keys and sites. They never print a private key.

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"flaxfront/internal/config/operator"
	"flaxfront/internal/config/terms"
	"flaxfront/internal/server"
	"flaxfront/internal/transport/keys"
)

const day = 24 * time.Hour

func keysCommand(file *string) *cobra.Command {
	var dir, authority, name string
	var id keys.ID
	var days, authorityDays int
	root := &cobra.Command{Use: "keys", Short: "Manage the certificates with which brokers identify each other"}
	newAuthority := &cobra.Command{
		Use:   "new-authority --dir DIR",
		Short: "Create a certificate authority; keep its key where certificates are issued, and copy it to no broker",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := keys.NewAuthority(dir, name, time.Duration(authorityDays)*day, time.Now()); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "created %s and %s\n", filepath.Join(dir, keys.AuthorityCert), filepath.Join(dir, keys.AuthorityKey))
			return nil
		},
	}
	newAuthority.Flags().StringVar(&dir, "dir", "", "directory to create it in")
	newAuthority.Flags().StringVar(&name, "name", "flaxfront links", "name of the authority")
	newAuthority.Flags().IntVar(&authorityDays, "days", 3650, "days until it expires")
	newAuthority.MarkFlagRequired("dir")

	issue := &cobra.Command{
		Use:   "issue --authority DIR --dir DIR --site SITE --broker NAME",
		Short: "Issue a certificate and key for a broker; a running broker loads them on SIGHUP",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := keys.Issue(authority, dir, id, time.Duration(days)*day, time.Now())
			if err == nil {
				fmt.Fprintf(cmd.OutOrStdout(), "%s: certificate %s, valid until %s, in %s\n", id, keys.Serial(c), c.NotAfter.Format(time.DateOnly), dir)
			}
			return err
		},
	}
	issue.Flags().StringVar(&authority, "authority", "", "directory of the authority")
	issue.Flags().StringVar(&dir, "dir", "", "the broker's directory; a certificate and key in it are replaced")
	issue.Flags().StringVar(&id.Site, "site", "", "site of the broker")
	issue.Flags().StringVar(&id.Broker, "broker", "", "name of the broker")
	issue.Flags().IntVar(&days, "days", 365, "days until it expires")
	for _, flag := range []string{"authority", "dir", "site", "broker"} {
		issue.MarkFlagRequired(flag)
	}

	show := &cobra.Command{
		Use:   "show FILE...",
		Short: "Print the identity, number and validity of certificates",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			for _, f := range files {
				all, err := keys.ReadCertificates(f)
				if err != nil {
					return err
				}
				for _, c := range all {
					who := c.Subject.CommonName + " (authority)"
					if !c.IsCA {
						id, err := keys.Identity(c)
						if err != nil {
							return fmt.Errorf("%s: %w", f, err)
						}
						who = id.String()
					}
					fmt.Fprintf(cmd.OutOrStdout(), "%s: %s, number %s, %s to %s\n", f, who, keys.Serial(c),
						c.NotBefore.Format(time.DateOnly), c.NotAfter.Format(time.DateOnly))
				}
			}
			return nil
		},
	}

	revoke := &cobra.Command{
		Use:   "revoke --authority DIR NUMBER...",
		Short: "Add certificates to the list of revoked ones, which must be copied to every broker",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, numbers []string) error {
			err := keys.Revoke(authority, numbers, time.Now())
			if err == nil {
				fmt.Fprintf(cmd.OutOrStdout(), "copy %s to every broker's directory, then send SIGHUP to the brokers\n", filepath.Join(authority, keys.RevocationFile))
			}
			return err
		},
	}
	revoke.Flags().StringVar(&authority, "authority", "", "directory of the authority")
	revoke.MarkFlagRequired("authority")

	check := &cobra.Command{
		Use:   "check",
		Short: "Check a broker's directory as the broker would, including whether a certificate expires soon",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if dir == "" {
				operators, err := operator.Read(*file)
				if err != nil {
					return err
				}
				if dir = operators.Sites.Keys; dir == "" {
					return fmt.Errorf("no directory: set --dir, or sites.keys in the operators' file")
				}
			}
			ring, err := keys.Open(dir)
			if err != nil {
				return err
			}
			left := time.Until(ring.Expiry())
			fmt.Fprintf(cmd.OutOrStdout(), "%s: valid for %s, expires in %d days\n", dir, ring.ID(), int(left/day))
			if left < 30*day {
				return fmt.Errorf("%s expires in %d days", dir, int(left/day))
			}
			return nil
		},
	}
	check.Flags().StringVar(&dir, "dir", "", "the broker's directory (default: sites.keys of the operators' file)")
	root.AddCommand(newAuthority, issue, show, revoke, check)
	return root
}

// fetchCounters returns the counters of a running broker, from an address or, if that is "", from the one in its configuration.
func fetchCounters(config, address string) (counters server.Counters, err error) {
	if address == "" && config == "" {
		return counters, errNoConfig
	}
	if address == "" {
		start, err := terms.ReadConfig(config)
		if err != nil {
			return counters, err
		}
		address = start.Listen.String()
	}
	client := &http.Client{Timeout: 3 * time.Second}
	resp, err := client.Get("http://" + address + "/counters")
	if err != nil {
		return counters, err
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(io.LimitReader(resp.Body, 1<<20)).Decode(&counters); err != nil {
		return counters, fmt.Errorf("%s: %w", address, err)
	}
	return counters, nil
}

// sitesCommand returns the command that prints the state of the links of a running broker.
func sitesCommand(config *string) *cobra.Command {
	var address string
	c := &cobra.Command{
		Use:   "sites",
		Short: "Print the links of a running broker to other sites, and the queries forwarded over them",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			counters, err := fetchCounters(*config, address)
			if err != nil {
				return err
			}
			gateway := counters.Queries.Gateway
			if gateway == nil {
				return fmt.Errorf("the gateway is off on the broker: sites.keys, or both sites.listen and sites.targets, are empty")
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 8, 2, ' ', 0)
			fmt.Fprintln(w, "LINK\tUP\tUSABLE\tROUND TRIP\tANSWER TIME\tIN FLIGHT\tCREDIT\tFREE THERE\tLAST STATUS\tBACKOFF")
			for _, l := range gateway.Links {
				heard := "never"
				if l.StatusAge >= 0 {
					heard = l.StatusAge.Round(time.Millisecond).String() + " ago"
				}
				fmt.Fprintf(w, "%s\t%v\t%v\t%v\t%v\t%d\t%d\t%.0f%%\t%s\t%v\n", l.Name, l.Up, l.Usable, l.RoundTrip.Round(time.Millisecond/10),
					l.AnswerTime.Round(time.Millisecond), l.InFlight, l.Credit, 100*l.FreeShare, heard, l.RemainingBackoff.Round(time.Millisecond))
			}
			if err := w.Flush(); err != nil {
				return err
			}
			outgoing, incoming := &gateway.Outgoing, &gateway.Incoming
			fmt.Fprintf(cmd.OutOrStdout(), "outgoing: forwarded %d, answered %d, rejected there %d, failed %d; link lost %d, resumed %d, returned %d, timed out %d\n"+
				"not forwarded: no budget %d, no link %d, no time %d\nincoming: received %d, admitted %d, rejected %d, repeated %d, cancelled %d; in flight %d, remembered %d; rejected handshakes %d\n",
				outgoing.Forwarded, outgoing.Answered, outgoing.Rejected, outgoing.Failed, outgoing.LinkLost, outgoing.Retried, outgoing.Returned, outgoing.TimedOut, outgoing.NoBudget, outgoing.NoLink,
				outgoing.NoTime, incoming.Received, incoming.Admitted, incoming.Rejected, incoming.Joined+incoming.Repeated, incoming.Cancelled, incoming.InFlight, incoming.Remembered, counters.RejectedLinks)
			return nil
		},
	}
	c.Flags().StringVar(&address, "at", "", "client address of the broker (default: as in the configuration)")
	return c
}
