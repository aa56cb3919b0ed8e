package main

// This file owns the commands on what the tier agreed: operators' requests to the leader, by the keys of the operators' file.

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"flaxfront/internal/cluster/controlplane"
	"flaxfront/internal/cluster/raftlog"
	"flaxfront/internal/config/operator"
	"flaxfront/internal/server"
	"flaxfront/internal/transport/keys"
)

// leaderClient asks the leader of the tier that the operators' file names.
type leaderClient struct {
	file       *string
	timeout    time.Duration
	firstVoter string // ask this one first
}

func (a *leaderClient) open() (*operator.File, *keys.Keyring, error) {
	operators, err := operator.Read(*a.file)
	if err != nil {
		return nil, nil, err
	}
	if !operators.ControlPlaneEnabled() {
		return nil, nil, errors.New("the operators' file names no fleet.voters: give --operator")
	}
	ring, err := keys.Open(operators.ControlPlaneKeys())
	return operators, ring, err
}

func (a *leaderClient) request(verb string, r *controlplane.Request, into any) error {
	operators, ring, err := a.open()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.timeout)
	defer cancel()
	voters, _ := server.Voters(&operators.ControlPlaneSettings)
	for i := range voters {
		if a.firstVoter != "" && voters[i].Addr != a.firstVoter {
			continue
		}
		voters[0], voters[i] = voters[i], voters[0]
		break
	}
	return controlplane.SendRequest(ctx, ring, voters, verb, r, into)
}

func fleetCommand(file *string) *cobra.Command {
	a := &leaderClient{file: file}
	root := &cobra.Command{
		Use:   "fleet",
		Short: "What the brokers of a tier agree on: releases, drains of nodes, policies",
	}
	root.PersistentFlags().DurationVar(&a.timeout, "within", 10*time.Second, "how long to ask")
	root.PersistentFlags().StringVar(&a.firstVoter, "at", "", "address of the voter to ask first (default: all in turn)")
	root.AddCommand(beginCommand(a), statusCommand(a), watchCommand(a), releaseCommand(a), policyCommand(a))
	for _, v := range []struct{ verb, use, short, done string }{
		{controlplane.VerbHalt, "halt [REASON]", "Halt the release: permits that were not used are void", "halted"},
		{controlplane.VerbRollBack, "back [REASON]", "Take the release back: what went out by it returns, under the same limits", "the way back is release"},
	} {
		root.AddCommand(&cobra.Command{Use: v.use, Short: v.short, Args: cobra.MaximumNArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			r := &controlplane.Request{Reason: "an operator's word"}
			if len(args) > 0 {
				r.Reason = args[0]
			}
			return a.askAndPrint(cmd, v.verb, r, v.done)
		}})
	}
	root.AddCommand(&cobra.Command{Use: "resume", Short: "Let a halted release go on", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		return a.askAndPrint(cmd, controlplane.VerbResume, &controlplane.Request{}, "goes on")
	}})
	var reason string
	drain := &cobra.Command{Use: "drain NODE", Short: "Drain a node: every broker stops sending to it", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.askAndPrint(cmd, controlplane.VerbDrain, &controlplane.Request{Node: args[0], Reason: reason}, "drain")
		}}
	drain.Flags().StringVar(&reason, "reason", "an operator's word", "why")
	undrain := &cobra.Command{Use: "undrain NODE", Short: "End a node's drain: what discovery says of it counts again", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.askAndPrint(cmd, controlplane.VerbUndrain, &controlplane.Request{Node: args[0]}, "ended")
		}}
	out := &cobra.Command{Use: "out NODE", Short: "Say that a node which a release permits goes out now; only where this succeeds may it be stopped", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.askAndPrint(cmd, controlplane.VerbNodeOut, &controlplane.Request{Node: args[0]}, "it may be stopped")
		}}
	returned := &cobra.Command{Use: "returned NODE", Short: "Say that a node which went out serves again", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.askAndPrint(cmd, controlplane.VerbNodeReturned, &controlplane.Request{Node: args[0]}, "returned")
		}}
	forget := &cobra.Command{Use: "forget BROKER", Short: "Say that a broker never comes back: it counts as out no more", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.askAndPrint(cmd, controlplane.VerbRemoveBroker, &controlplane.Request{Broker: args[0]}, "forgotten")
		}}
	root.AddCommand(drain, undrain, out, returned, forget)
	return root
}

// askAndPrint prints that something is agreed.
func (a *leaderClient) askAndPrint(cmd *cobra.Command, verb string, r *controlplane.Request, done string) error {
	var number uint64
	err := a.request(verb, r, &number)
	if err == nil && number > 0 {
		fmt.Fprintln(cmd.OutOrStdout(), done, number)
	} else if err == nil {
		fmt.Fprintln(cmd.OutOrStdout(), done)
	}
	return err
}

func beginCommand(a *leaderClient) *cobra.Command {
	return &cobra.Command{
		Use:   "begin",
		Short: "Begin a voter's log, once in its life, before its first start; never where one was lost",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			operators, ring, err := a.open()
			if err != nil {
				return err
			}
			options, votes := server.LogOptions(&operators.ControlPlaneSettings, ring)
			if !votes {
				return fmt.Errorf("%s is none of fleet.voters, or fleet.directory is empty", ring.ID().Broker)
			}
			if existing, _ := filepath.Glob(filepath.Join(options.Directory, "raft*")); len(existing) > 0 {
				return fmt.Errorf("%s holds a log already, which is begun once", options.Directory)
			}
			options.Create = true
			log, err := raftlog.Open(options)
			if err != nil {
				return err
			}
			log.Close()
			fmt.Fprintf(cmd.OutOrStdout(), "log of voter %d begun in %s\n", options.VoterID, options.Directory)
			return nil
		},
	}
}

func releaseCommand(a *leaderClient) *cobra.Command {
	var plan controlplane.ReleaseRequest
	var batches []uint
	var pause time.Duration
	var maxOut, maxOutPerZone, minReady uint
	c := &cobra.Command{
		Use:   "release --to VERSION",
		Short: "Begin a release over brokers, or over nodes: who may go out, and how many at once",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, b := range batches {
				plan.Batches = append(plan.Batches, uint32(b))
			}
			plan.MaxOut, plan.MaxOutPerZone, plan.MinReadyReplicas, plan.PauseMS = uint32(maxOut), uint32(maxOutPerZone), uint32(minReady), uint64(pause.Milliseconds())
			return a.askAndPrint(cmd, controlplane.VerbRelease, &controlplane.Request{Plan: &plan}, "release")
		},
	}
	f := c.Flags()
	f.StringVar(&plan.Name, "name", "", "what it is called")
	f.StringVar(&plan.From, "from", "", "version that the way back leads to")
	f.StringVar(&plan.To, "to", "", "version that it leads to")
	f.StringSliceVar(&plan.Brokers, "broker", nil, "brokers, by name; none and no nodes: all, voters last")
	f.StringSliceVar(&plan.Nodes, "node", nil, "nodes, by name or ADDRESS:PORT")
	f.UintSliceVar(&batches, "batch", nil, "how many are in the first batch, the first two, and so on; none: all in one")
	f.UintVar(&maxOut, "most", 1, "out at once over the tier")
	f.UintVar(&maxOutPerZone, "most-zone", 0, "out at once in a zone (default: as --most)")
	f.UintVar(&minReady, "least", 1, "ready holders that each shard keeps, for nodes")
	f.DurationVar(&pause, "pause", 10*time.Second, "between batches")
	f.StringVar(&plan.Gates, "gates", "", "gates, as docs/operations/fleet.md says")
	c.MarkFlagRequired("to")
	return c
}

func policyCommand(a *leaderClient) *cobra.Command {
	c := &cobra.Command{Use: "policy", Short: "How nodes' connections are divided"}
	c.AddCommand(
		&cobra.Command{Use: "set FILE", Short: "Have a policy checked and agreed", Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			return a.askAndPrint(cmd, controlplane.VerbPolicy, &controlplane.Request{Text: string(text)}, "policy")
		}},
		&cobra.Command{Use: "show", Short: "Print the policy in force", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			var s controlplane.Status
			if err := a.request(controlplane.VerbStatus, &controlplane.Request{}, &s); err != nil {
				return err
			}
			if s.Policy == nil {
				return errors.New("no policy is in force")
			}
			fmt.Fprintf(cmd.OutOrStdout(), "// version %d\n%s\n", s.Policy.Version, s.Policy.Text)
			if s.Waiting != nil {
				fmt.Fprintf(cmd.OutOrStdout(), "// version %d waits until what brokers hold fits it\n", s.Waiting.Version)
			}
			return nil
		}},
		&cobra.Command{Use: "back", Short: "Have the policy before this one agreed anew", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			return a.askAndPrint(cmd, controlplane.VerbRollBackPolicy, &controlplane.Request{}, "policy")
		}})
	return c
}
