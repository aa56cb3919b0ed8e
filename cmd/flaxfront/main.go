// Command flaxfront runs a broker on sockets, and has commands to operate brokers. This file implements the command line and the signals.
package main

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"flaxfront/internal/config/operator"
	"flaxfront/internal/config/remedy"
	"flaxfront/internal/config/terms"
	"flaxfront/internal/decision"
	"flaxfront/internal/decision/routing"
	"flaxfront/internal/server"
)

func main() {
	root := &cobra.Command{
		Use:           "flaxfront",
		Short:         "A query router in front of a sharded, replicated store",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	var config, file string
	root.PersistentFlags().StringVar(&file, "operator", os.Getenv("FLAXFRONT_OPERATOR"),
		"operators' file, which switches on further features (default: $FLAXFRONT_OPERATOR; none: no further feature is on)")
	root.PersistentFlags().StringVar(&config, "config", os.Getenv("RELAY_CONFIG"),
		"configuration file (default: $RELAY_CONFIG)")
	root.AddCommand(
		&cobra.Command{
			Use:   "serve",
			Short: "Serve until SIGTERM, then answer the accepted queries and exit",
			Long: "Serve clients by the configuration. SIGTERM or SIGINT stops the broker once all accepted queries " +
				"are answered;\nSIGHUP reloads the configuration; SIGUSR1 logs the counters, which GET /counters " +
				"also returns.",
			Args: cobra.NoArgs,
			RunE: func(*cobra.Command, []string) error { return serve(config, file) },
		},
		&cobra.Command{
			Use:   "check",
			Short: "Check the configuration and the operators' file",
			Args:  cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				start, _, err := load(config, file)
				if err == nil {
					fmt.Fprintf(cmd.OutOrStdout(), "%s: valid, for %s at %s\n", config, start.Name, start.Listen)
				}
				if err == nil && file != "" {
					fmt.Fprintf(cmd.OutOrStdout(), "%s: valid\n", file)
				}
				return err
			},
		},
		configCommand(&file),
		nodesCommand(&config, &file),
		keysCommand(&file),
		sitesCommand(&config),
		tenantsCommand(&config),
		membersCommand(&config),
		dutiesCommand(&config),
		fleetCommand(&file),
		searchCommand(),
		&cobra.Command{
			Use:   "version",
			Short: "Print the version",
			Args:  cobra.NoArgs,
			Run: func(cmd *cobra.Command, _ []string) {
				version := "unknown"
				if info, ok := debug.ReadBuildInfo(); ok {
					version = info.Main.Version + " " + info.GoVersion
				}
				fmt.Fprintln(cmd.OutOrStdout(), "flaxfront", version)
			},
		},
	)
	if err := root.Execute(); err != nil {
		fmt.Fprint(os.Stderr, errorText(err))
		os.Exit(1)
	}
}

// errorText returns the text that the command prints for an error: the error, and its remedy on a second line if it has one.
func errorText(err error) string {
	text := fmt.Sprintln("flaxfront:", err)
	if todo := remedy.Of(err); todo != "" {
		text += fmt.Sprintln("what to do:", todo)
	}
	return text
}

var errNoConfig = errors.New("no configuration file: set --config or $RELAY_CONFIG")

// load reads the configuration and the operators' file, and returns a server that is not open yet.
func load(config, file string) (*terms.Config, *server.Server, error) {
	if config == "" {
		return nil, nil, errNoConfig
	}
	start, err := terms.ReadConfig(config)
	if err != nil {
		return nil, nil, err
	}
	operators, err := operator.Read(file)
	if err != nil {
		return nil, nil, err
	}
	s, err := server.New(start, operators, func(t decision.Settings) decision.Router { return routing.New(t) })
	return start, s, err
}

// serve runs a broker until SIGTERM or SIGINT.
func serve(config, file string) error {
	signals, reloads := make(chan os.Signal, 4), make(chan os.Signal, 1) // several pending SIGHUP have the effect of one
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	signal.Notify(reloads, syscall.SIGHUP)
	log := newLogWriter(os.Stderr)
	defer log.Close()
	var level slog.LevelVar
	slog.SetDefault(slog.New(slog.NewTextHandler(log, &slog.HandlerOptions{Level: &level})))
	if operators, err := operator.Read(file); err == nil && operators.Log.Debug() {
		level.Set(slog.LevelDebug)
	}
	start, s, err := load(config, file)
	if err == nil {
		err = s.Open()
	}
	if err == nil {
		err = addFronts(s, file)
	}
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(start.Limits.Cores)))
	debug.SetMemoryLimit(s.RuntimeMemory())
	go func() {
		for range reloads {
			next, err := terms.ReadConfig(config)
			operators, operatorErr := operator.Read(file)
			s.Reload(next, operators, cmp.Or(err, operatorErr))
		}
	}()
	stop := make(chan struct{})
	go func() {
		stopping := false
		for sig := range signals {
			if sig == syscall.SIGUSR1 {
				slog.Info("counters", "counters", s.Counters())
			} else if !stopping {
				stopping = true
				close(stop)
			}
		}
	}()
	return s.Run(stop)
}
