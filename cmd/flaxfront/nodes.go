package main

// This file owns the commands on what operators keep: `config`, which shows what is in force, and `nodes`, which works on
// the saved node list, also while a broker runs. It must never write beside a broker that holds the directory.

import (
	"errors"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"flaxfront/internal/config/operator"
	"flaxfront/internal/config/terms"
	"flaxfront/internal/discovery/nodelist"
	"flaxfront/internal/filesystem"
)

func configCommand(file *string) *cobra.Command {
	return &cobra.Command{
		Use:   "config",
		Short: "Print the operators' settings that are in force; what the file does not name is marked as default",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			operators, err := operator.Read(*file)
			if err != nil {
				return err
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 8, 2, ' ', 0)
			for _, s := range operators.Settings() {
				origin := *file
				if s.Default {
					origin = "default"
				}
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", s.Field, s.Value, origin, s.Doc)
			}
			return w.Flush()
		},
	}
}

// listLocation is where the list is and what it must belong to; no configuration: to any deployment.
type listLocation struct {
	dir, deployment string
	operators       *operator.File
}

func nodesCommand(config, file *string) *cobra.Command {
	var dir string
	locate := func() (location listLocation, err error) {
		if location.operators, err = operator.Read(*file); err != nil {
			return location, err
		}
		if location.dir = dir; dir == "" {
			location.dir = location.operators.Start.NodeList.Directory
		}
		if location.dir == "" {
			return location, errors.New("no node list: give --dir, or an operators' file that names start.node_list.directory")
		}
		if *config != "" {
			start, err := terms.ReadConfig(*config)
			if err != nil {
				return location, err
			}
			location.deployment = start.Terms.Fingerprint()
		}
		return location, nil
	}
	nodes := &cobra.Command{
		Use:   "nodes",
		Short: "Show and change the saved node list, also while a broker runs",
	}
	nodes.PersistentFlags().StringVar(&dir, "dir", "", "directory of the list (default: the operators' file's)")

	var asJSON, includeEnded bool
	show := &cobra.Command{
		Use:   "show [NAME]...",
		Short: "Print the entries, with how doubtful their age makes them",
		RunE: func(cmd *cobra.Command, names []string) error {
			location, err := locate()
			if err != nil {
				return err
			}
			c, err := nodelist.Read(filesystem.Local{}, location.dir, location.deployment)
			if err != nil {
				return err
			}
			return showNodes(cmd.OutOrStdout(), location, c, names, includeEnded, asJSON)
		},
	}
	show.Flags().BoolVar(&asJSON, "json", false, "as export writes it")
	show.Flags().BoolVar(&includeEnded, "ended", false, "ended nodes too")

	var connectTimeout time.Duration
	verify := &cobra.Command{
		Use:   "verify",
		Short: "Check the files whole; with --connect also try each node in service",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			location, err := locate()
			if err != nil {
				return err
			}
			return verifyNodes(cmd.OutOrStdout(), location, connectTimeout)
		},
	}
	verify.Flags().DurationVar(&connectTimeout, "connect", 0, "try to connect to each node in service, so long each (0: don't)")

	export := &cobra.Command{
		Use:   "export",
		Short: "Write all entries as JSON, for import elsewhere",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			location, err := locate()
			if err != nil {
				return err
			}
			c, err := nodelist.Read(filesystem.Local{}, location.dir, location.deployment)
			if err == nil {
				err = writeJSON(cmd.OutOrStdout(), c.SortedByName())
			}
			return err
		},
	}

	imports := &cobra.Command{
		Use:   "import FILE",
		Short: "Take entries from a file that export wrote (-: standard input), where they are later than what is known",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			location, err := locate()
			if err != nil {
				return err
			}
			entries, err := readEntries(args[0], cmd.InOrStdin())
			if err != nil {
				return err
			}
			return applyChange(cmd.OutOrStdout(), location, nodelist.OperatorRequest{Import: entries})
		},
	}

	forget := &cobra.Command{
		Use:   "forget NAME...",
		Short: "Drop entries; a broker that runs without discovery stops using these nodes at once",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, names []string) error {
			location, err := locate()
			if err != nil {
				return err
			}
			return applyChange(cmd.OutOrStdout(), location, nodelist.OperatorRequest{Forget: names})
		},
	}
	nodes.AddCommand(show, verify, export, imports, forget)
	return nodes
}
