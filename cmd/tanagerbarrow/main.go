// Command tanagerbarrow is the daemon. It runs an entry process, which serves
// callers, or a control process, which holds the replicated state.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"tanagerbarrow/control"
	"tanagerbarrow/entry"
	"tanagerbarrow/settings"
	"tanagerbarrow/telemetry"
)

// exitBadSettings is the exit status for invalid settings.
const exitBadSettings = 2

func main() {
	app := kingpin.New("tanagerbarrow", "A load balancer for servers whose load shifts within milliseconds.")
	entryCommand := app.Command("entry", "Serve callers on an entry host.")
	entryConfig := configFlag(entryCommand)
	controlCommand := app.Command("control", "Run a control process, a voter of the replicated state; it needs a disk.")
	controlConfig := configFlag(controlCommand)
	checkCommand := app.Command("check", "Check a settings file; exit 0 if it is valid and 2 if not.")
	checkConfig := configFlag(checkCommand)
	gatewayCommand := app.Command("gateway", "Serve callers on an entry host, with the settings file of the deployment platform.")
	coordinatorCommand := app.Command("coordinator", "Run a control process, with the settings file of the deployment platform.")
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case entryCommand.FullCommand():
		run(*entryConfig, settings.RoleEntry)
	case controlCommand.FullCommand():
		run(*controlConfig, settings.RoleControl)
	case gatewayCommand.FullCommand():
		runDeployment("gateway", startGateway)
	case coordinatorCommand.FullCommand():
		runDeployment("coordinator", startCoordinator)
	case checkCommand.FullCommand():
		load(*checkConfig)
		fmt.Printf("%s: valid\n", *checkConfig)
	}
}

// configFlag adds the flag that names the settings file.
func configFlag(c *kingpin.CmdClause) *string {
	return c.Flag("config", "Settings file in INI format.").Short('c').Required().String()
}

// load reads the settings file. If it is invalid, load prints the error and exits.
func load(path string) (*settings.Settings, settings.Role) {
	s, role, err := settings.Load(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitBadSettings)
	}
	return s, role
}

// process is an entry or a control process.
type process interface {
	Run(ctx context.Context) error
}

// run runs the process that the settings file describes until SIGINT or SIGTERM. It
// exits if the role in the file is not wantRole.
func run(path string, wantRole settings.Role) {
	s, role := load(path)
	if role != wantRole {
		fmt.Fprintf(os.Stderr, "%s: [host] role: is %q, but the command is %q\n", path, role, wantRole)
		os.Exit(exitBadSettings)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	log := telemetry.NewLogger(os.Stdout, s)
	var p process
	var err error
	if role == settings.RoleEntry {
		p, err = entry.New(s, log)
	} else {
		p, err = control.New(s, log)
	}
	if err == nil {
		err = p.Run(ctx)
	}
	if err != nil {
		log.Error().Err(errors.Wrapf(err, "run %s", role)).Msg("process failed")
		os.Exit(1)
	}
}
