// Command rhubarbsilld runs an entry Instance: that of pkg/server, or with the
// subcommand "hosted" that of pkg/hosted.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap/zapcore"

	"github.com/rhubarbsill/rhubarbsill/pkg/server"
	"github.com/rhubarbsill/rhubarbsill/pkg/telemetry"
)

func main() {
	if err := newCommand().Execute(); err != nil {
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	var path string
	var drainTimeout time.Duration
	command := &cobra.Command{
		Use:          "rhubarbsilld --settings FILE",
		Short:        "Run an entry instance of the rhubarbsill router",
		Example:      "  rhubarbsilld --settings /etc/rhubarbsill/instance.jsonc",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return run(cmd.Context(), path, drainTimeout)
		},
	}
	command.Flags().StringVar(&path, "settings", "", "settings file, JSON with comments")
	command.Flags().DurationVar(&drainTimeout, "drain-limit", 15*time.Minute, "longest wait for running requests at shutdown")
	_ = command.MarkFlagRequired("settings")
	command.AddCommand(newHostedCommand())
	return command
}

func run(ctx context.Context, path string, drainTimeout time.Duration) error {
	settings, err := server.ReadSettings(path)
	if err != nil {
		return err
	}
	level, err := zapcore.ParseLevel(settings.LogLevel)
	if err != nil {
		return fmt.Errorf("settings %s: log_level: %w", path, err)
	}
	log := telemetry.NewLogger(os.Stderr, level)
	instance, err := server.New(settings, log)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(os.Stdout).Encode(instance.ListenAddresses()); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return instance.Run(ctx, drainTimeout)
}
