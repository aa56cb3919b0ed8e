package main

// This file defines the commands `config`, which prints the settings in force, and `nodes`, which reads and changes the cached endpoint list,
// also while a broker runs. A directory that a running broker holds is changed only by that broker, on request.

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
		Short: "Print the operators' settings in force, with the file or \"default\" as the origin of each",
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

// listLocation is the directory of the list and the deployment to which it must belong, "" for any.
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
			return location, errors.New("no directory: set --dir, or start.node_list.directory in the operators' file")
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
		Short: "Print and change the cached endpoint list, also while a broker runs",
	}
	nodes.PersistentFlags().StringVar(&dir, "dir", "", "directory of the list (default: start.node_list.directory of the operators' file)")

	var asJSON, includeEnded bool
	show := &cobra.Command{
		Use:   "show [NAME]...",
		Short: "Print the entries, with the error probability by their age",
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
	show.Flags().BoolVar(&asJSON, "json", false, "print JSON, as export does")
	show.Flags().BoolVar(&includeEnded, "ended", false, "include ended nodes")

	var connectTimeout time.Duration
	verify := &cobra.Command{
		Use:   "verify",
		Short: "Check the files; with --connect also try to connect to each node in service",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			location, err := locate()
			if err != nil {
				return err
			}
			return verifyNodes(cmd.OutOrStdout(), location, connectTimeout)
		},
	}
	verify.Flags().DurationVar(&connectTimeout, "connect", 0, "timeout for connecting to each node in service (0: do not connect)")

	export := &cobra.Command{
		Use:   "export",
		Short: "Write all entries as JSON, for import",
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
		Short: "Import entries that export wrote, from a file or standard input (-), where they are newer than those in the list",
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
		Short: "Delete entries; a broker that runs without discovery stops using these nodes at once",
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
