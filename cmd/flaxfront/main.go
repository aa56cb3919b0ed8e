// Command flaxfront is the broker on real sockets. This file owns the command line and the signals; it must never
// hold anything that a broker does.
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
		Short:         "A query router before a sharded, replicated store",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	var config, file string
	root.PersistentFlags().StringVar(&file, "operator", os.Getenv("FLAXFRONT_OPERATOR"),
		"the operators' own file (default: what $FLAXFRONT_OPERATOR names; none: nothing beyond the configuration is on)")
	root.PersistentFlags().StringVar(&config, "config", os.Getenv("RELAY_CONFIG"),
		"configuration file (default: what $RELAY_CONFIG names)")
	root.AddCommand(
		&cobra.Command{
			Use:   "serve",
			Short: "Serve until SIGTERM, then answer what was taken and exit",
			Long: "Serve clients as the configuration says. SIGTERM or SIGINT stops the broker once all it has taken " +
				"is answered;\nSIGHUP has the configuration read anew; SIGUSR1 logs the counters, which GET /counters " +
				"returns too.",
			Args: cobra.NoArgs,
			RunE: func(*cobra.Command, []string) error { return serve(config, file) },
		},
		&cobra.Command{
			Use:   "check",
			Short: "Read the configuration and the operators' file and tell what is wrong with them",
			Args:  cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				start, _, err := load(config, file)
				if err == nil {
					fmt.Fprintf(cmd.OutOrStdout(), "%s: good for %s at %s\n", config, start.Name, start.Listen)
				}
				if err == nil && file != "" {
					fmt.Fprintf(cmd.OutOrStdout(), "%s: good\n", file)
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
			Short: "Tell the version",
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

// errorText is what an error has the command print: itself, and a line on what to do where it knows that.
func errorText(err error) string {
	text := fmt.Sprintln("flaxfront:", err)
	if todo := remedy.Of(err); todo != "" {
		text += fmt.Sprintln("what to do:", todo)
	}
	return text
}

var errNoConfig = errors.New("no configuration: give --config or set RELAY_CONFIG")

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

func serve(config, file string) error {
	signals, reloads := make(chan os.Signal, 4), make(chan os.Signal, 1) // two SIGHUP that wait are as good as one
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	signal.Notify(reloads, syscall.SIGHUP)
	log := newLogWriter(os.Stderr)
	defer log.Close()
	slog.SetDefault(slog.New(slog.NewTextHandler(log, nil)))
	start, s, configErr := load(config, file)
	if configErr == nil {
		configErr = s.Open()
	}
	if configErr == nil {
		configErr = addFronts(s, file)
	}
	if configErr != nil {
		return configErr
	}
	runtime.GOMAXPROCS(max(1, int(start.Limits.Cores)))
	debug.SetMemoryLimit(int64(start.Limits.MemoryMB) << 20 / 4 * 3) // from there on the collector works harder
	go func() {
		for range reloads {
			next, configErr := terms.ReadConfig(config)
			operators, operatorErr := operator.Read(file)
			s.Reload(next, operators, cmp.Or(configErr, operatorErr))
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
