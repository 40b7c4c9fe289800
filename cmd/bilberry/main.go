// Command bilberry is the operators' command line of bilberryferry.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"github.com/bilberryferry/bilberryferry/internal/cli"
	"github.com/bilberryferry/bilberryferry/internal/dev"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	app := cli.New()
	app.ExtraCommands = extraCommands()
	code := app.Run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

// extraCommands returns the subcommands that packages other than cli implement.
func extraCommands() []subcommands.Command {
	return []subcommands.Command{dev.Command()}
}
