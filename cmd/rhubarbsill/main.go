// Command rhubarbsill is the operator's command line, implemented in pkg/operator.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rhubarbsill/rhubarbsill/pkg/operator"
	"github.com/rhubarbsill/rhubarbsill/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := operator.Main(ctx, os.Args[1:], os.Stdout, os.Stderr, platform.ConfigFormat{})
	stop()
	os.Exit(code)
}
