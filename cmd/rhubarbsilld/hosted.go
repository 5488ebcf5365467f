package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/rhubarbsill/rhubarbsill/pkg/hosted"
	"github.com/rhubarbsill/rhubarbsill/pkg/telemetry"
	"github.com/rhubarbsill/rhubarbsill/platform"
)

func newHostedCommand() *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:          "hosted",
		Short:        "Run an entry instance on the users' platform",
		Example:      "  rhubarbsilld hosted --settings instance.jsonc",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE:         func(cmd *cobra.Command, _ []string) error { return runHosted(cmd.Context(), path) },
	}
	command.Flags().StringVar(&path, "settings", platform.SettingsPath(), "settings file, JSON with comments")
	return command
}

func runHosted(ctx context.Context, path string) error {
	settings, err := hosted.ReadSettings(path)
	if err != nil {
		return err
	}
	level, err := zapcore.ParseLevel(settings.LogLevel)
	if err != nil {
		return fmt.Errorf("settings %s: log_level: %w", path, err)
	}
	output := telemetry.NewAsyncWriter(os.Stdout)
	defer output.Close()
	log := telemetry.NewLogger(output, level)
	daemon, err := hosted.New(settings, platform.New(settings.StoreAddr), log)
	if err != nil {
		return err
	}
	sighups := make(chan os.Signal, 1)
	signal.Notify(sighups, syscall.SIGHUP)
	go func() {
		for range sighups {
			reload(log, path)
		}
	}()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return daemon.Run(ctx)
}

// reload validates the settings file and logs the result. Addresses and names can't
// change while the process runs, so a changed file takes effect at the next start.
func reload(log *zap.Logger, path string) {
	log = telemetry.ComponentLogger(log, "settings")
	if _, err := hosted.ReadSettings(path); err != nil {
		log.Error("changed settings are not valid, keeping the previous ones", zap.Error(err))
		return
	}
	log.Info("settings are valid and take effect at the next start")
}
