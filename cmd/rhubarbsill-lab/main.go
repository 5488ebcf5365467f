// Command rhubarbsill-lab runs the fakes of the platform, the engines and the plain
// services that rhubarbsill is tested against. Each subcommand runs one fake; "up" runs
// a complete test site in one process on loopback, and others run simulations in
// virtual time.
package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/rhubarbsill/rhubarbsill/pkg/lab/engine"
	"github.com/rhubarbsill/rhubarbsill/pkg/lab/objectstore"
	"github.com/rhubarbsill/rhubarbsill/pkg/lab/plain"
	"github.com/rhubarbsill/rhubarbsill/pkg/lab/site"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{
		Use:          "rhubarbsill-lab",
		Short:        "Run fakes of the platform, engines and plain services for tests and trials",
		SilenceUsage: true,
	}
	root.AddCommand(platformCommand(), engineCommand(), plainCommand(), upCommand(), measureCommand(), capacityCommand(), playCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

// fakeServer is implemented by every fake.
type fakeServer interface {
	Serve(net.Listener) error
	Close() error
}

// serve prints the listen address of a fake as JSON and serves until ctx is cancelled.
func serve(ctx context.Context, addr string, s fakeServer) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(os.Stdout).Encode(map[string]string{"addr": listener.Addr().String()}); err != nil {
		return err
	}
	serveErr := make(chan error, 1)
	go func() { serveErr <- s.Serve(listener) }()
	select {
	case <-ctx.Done():
		return s.Close()
	case err := <-serveErr:
		return err
	}
}

// httpServer adapts an http.Server to fakeServer.
type httpServer struct{ *http.Server }

func newHTTPServer(h http.Handler) httpServer {
	return httpServer{&http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}}
}

func platformCommand() *cobra.Command {
	var addr string
	var opts objectstore.Options
	command := &cobra.Command{
		Use:   "platform",
		Short: "Run the fake object API and instance list",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd.Context(), addr, newHTTPServer(objectstore.New(opts)))
		},
	}
	flags := command.Flags()
	flags.StringVar(&addr, "addr", "127.0.0.1:0", "listen address")
	flags.Uint64Var(&opts.Seed, "seed", 1, "seed of the faults")
	flags.IntVar(&opts.ReadsPerSecond, "reads", 2000, "reads per second, 0 for no limit")
	flags.IntVar(&opts.WritesPerSecond, "writes", 500, "writes per second, 0 for no limit")
	flags.DurationVar(&opts.InstanceLag, "instance-lag", time.Second, "lag of the instance list")
	return command
}

func engineCommand() *cobra.Command {
	var addr, role string
	var opts engine.Options
	command := &cobra.Command{
		Use:   "engine",
		Short: "Run a fake prefill or decode engine",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			opts.Role = engine.Role(role)
			return serve(cmd.Context(), addr, engine.New(opts))
		},
	}
	flags := command.Flags()
	flags.StringVar(&addr, "addr", "127.0.0.1:0", "listen address")
	flags.StringVar(&role, "role", "decode", "prefill or decode")
	flags.DurationVar(&opts.PerPromptToken, "per-prompt-token", 50*time.Microsecond, "prefill time of one token")
	flags.DurationVar(&opts.PerOutputToken, "per-output-token", 20*time.Millisecond, "time of one decode step")
	flags.IntVar(&opts.Slots, "slots", 20, "requests that a decode engine runs at once")
	flags.DurationVar(&opts.Downtime, "downtime", time.Second, "time without service after a crash")
	flags.StringVar(&opts.InitialState.Model, "model", "", "model served at the start, empty for every model")
	flags.StringVar(&opts.InitialState.Version, "model-version", "", "version of the weights served at the start")
	flags.DurationVar(&opts.LoadTime, "load-time", time.Second, "time from an order until new weights are served")
	flags.BoolVar(&opts.CheckFencing, "check-fencing", false, "reject orders with a stale fencing number")
	return command
}

func plainCommand() *cobra.Command {
	var addr string
	var opts plain.Options
	command := &cobra.Command{
		Use:   "plain",
		Short: "Run a fake plain service with a non-idempotent call",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd.Context(), addr, plain.New(opts))
		},
	}
	command.Flags().StringVar(&addr, "addr", "127.0.0.1:0", "listen address")
	command.Flags().DurationVar(&opts.Work, "work", time.Millisecond, "time of one request")
	return command
}

func upCommand() *cobra.Command {
	var opts site.UpOptions
	command := &cobra.Command{
		Use:     "up",
		Short:   "Run a whole trial site on loopback, send one request and print how to send more",
		Example: "  rhubarbsill-lab up\n  rhubarbsill-lab up --once",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			opts.Out = cmd.OutOrStdout()
			return site.Up(cmd.Context(), opts)
		},
	}
	command.Flags().IntVar(&opts.Instances, "instances", 3, "entry instances to run")
	command.Flags().BoolVar(&opts.Once, "once", false, "stop after the first request")
	return command
}
