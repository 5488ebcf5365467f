// Command rhubarbsill is the operator's command line, implemented in pkg/operator.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rhubarbsill/rhubarbsill/pkg/operator"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := operator.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
