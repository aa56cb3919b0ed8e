package main

// This file implements the commands of `fleet`: operators' requests to the leader of the control plane, made with the keys of the operators'
// file.

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

// leaderClient sends requests to the leader of the tier that the operators' file names.
type leaderClient struct {
	file       *string
	timeout    time.Duration
	firstVoter string // address of the voter to ask first; "": in the order of the file
}

func (a *leaderClient) open() (*operator.File, *keys.Keyring, error) {
	operators, err := operator.Read(*a.file)
	if err != nil {
		return nil, nil, err
	}
	if !operators.ControlPlaneEnabled() {
		return nil, nil, errors.New("fleet.voters is empty: set --operator to an operators' file that names the voters")
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
		Short: "Control the releases, drains of nodes, and connection policy of a tier",
	}
	root.PersistentFlags().DurationVar(&a.timeout, "within", 10*time.Second, "timeout of the request")
	root.PersistentFlags().StringVar(&a.firstVoter, "at", "", "address of the voter to ask first (default: in turn)")
	root.AddCommand(beginCommand(a), statusCommand(a), watchCommand(a), releaseCommand(a), policyCommand(a))
	for _, v := range []struct{ verb, use, short, done string }{
		{controlplane.VerbHalt, "halt [REASON]", "Halt the release; unused permits become void", "halted"},
		{controlplane.VerbRollBack, "back [REASON]", "Roll the release back, under the same limits", "rolled back by release"},
	} {
		root.AddCommand(&cobra.Command{Use: v.use, Short: v.short, Args: cobra.MaximumNArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			r := &controlplane.Request{Reason: "by an operator"}
			if len(args) > 0 {
				r.Reason = args[0]
			}
			return a.askAndPrint(cmd, v.verb, r, v.done)
		}})
	}
	root.AddCommand(&cobra.Command{Use: "resume", Short: "Resume a halted release", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		return a.askAndPrint(cmd, controlplane.VerbResume, &controlplane.Request{}, "resumed")
	}})
	var reason string
	drain := &cobra.Command{Use: "drain NODE", Short: "Drain a node: all brokers stop sending to it", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.askAndPrint(cmd, controlplane.VerbDrain, &controlplane.Request{Node: args[0], Reason: reason}, "drain")
		}}
	drain.Flags().StringVar(&reason, "reason", "by an operator", "reason for the drain")
	undrain := &cobra.Command{Use: "undrain NODE", Short: "End the drain of a node; its state in discovery counts again", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.askAndPrint(cmd, controlplane.VerbUndrain, &controlplane.Request{Node: args[0]}, "ended")
		}}
	out := &cobra.Command{Use: "out NODE", Short: "Report that a node with a release permit goes out now; it may be stopped only if this succeeds", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.askAndPrint(cmd, controlplane.VerbNodeOut, &controlplane.Request{Node: args[0]}, "the node may be stopped")
		}}
	returned := &cobra.Command{Use: "returned NODE", Short: "Report that a node that went out serves again", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.askAndPrint(cmd, controlplane.VerbNodeReturned, &controlplane.Request{Node: args[0]}, "returned")
		}}
	forget := &cobra.Command{Use: "forget BROKER", Short: "Remove a broker that will never return, so that it no longer counts as out", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.askAndPrint(cmd, controlplane.VerbRemoveBroker, &controlplane.Request{Broker: args[0]}, "forgotten")
		}}
	root.AddCommand(drain, undrain, out, returned, forget)
	return root
}

// askAndPrint sends a request, and prints done and the number that the leader returned, if it is not 0.
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
		Short: "Create the log of a voter, once, before its first start; never to replace a lost log",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			operators, ring, err := a.open()
			if err != nil {
				return err
			}
			options, votes := server.LogOptions(&operators.ControlPlaneSettings, ring)
			if !votes {
				return fmt.Errorf("no log to create: %s is not one of fleet.voters, or fleet.directory is empty", ring.ID().Broker)
			}
			if existing, _ := filepath.Glob(filepath.Join(options.Directory, "raft*")); len(existing) > 0 {
				return fmt.Errorf("%s already contains a log; a log is created only once", options.Directory)
			}
			options.Create = true
			log, err := raftlog.Open(options)
			if err != nil {
				return err
			}
			log.Close()
			fmt.Fprintf(cmd.OutOrStdout(), "log of voter %d created in %s\n", options.VoterID, options.Directory)
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
		Short: "Begin a release over brokers or nodes, with limits on how many are out at once",
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
	f.StringVar(&plan.Name, "name", "", "name of the release")
	f.StringVar(&plan.From, "from", "", "version to which a rollback returns")
	f.StringVar(&plan.To, "to", "", "version to release")
	f.StringSliceVar(&plan.Brokers, "broker", nil, "brokers, by name (default: all if there is no --node, voters last)")
	f.StringSliceVar(&plan.Nodes, "node", nil, "nodes, by name or ADDRESS:PORT")
	f.UintSliceVar(&batches, "batch", nil, "cumulative batch sizes: the number in the first batch, in the first two, and so on (default: one batch)")
	f.UintVar(&maxOut, "most", 1, "maximum number out at once in the tier")
	f.UintVar(&maxOutPerZone, "most-zone", 0, "maximum number out at once in a zone (default: as --most)")
	f.UintVar(&minReady, "least", 1, "for nodes: minimum number of ready replicas of each shard")
	f.DurationVar(&pause, "pause", 10*time.Second, "pause between batches")
	f.StringVar(&plan.Gates, "gates", "", "gates, in the form of docs/operations/fleet.md")
	c.MarkFlagRequired("to")
	return c
}

func policyCommand(a *leaderClient) *cobra.Command {
	c := &cobra.Command{Use: "policy", Short: "Control the policy that divides the nodes' connections"}
	c.AddCommand(
		&cobra.Command{Use: "set FILE", Short: "Check a policy and put it in force", Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
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
				fmt.Fprintf(cmd.OutOrStdout(), "// version %d waits until the connections that brokers hold are within its limits\n", s.Waiting.Version)
			}
			return nil
		}},
		&cobra.Command{Use: "back", Short: "Put the previous policy in force again", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			return a.askAndPrint(cmd, controlplane.VerbRollBackPolicy, &controlplane.Request{}, "policy")
		}})
	return c
}
