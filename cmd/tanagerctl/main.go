// Command tanagerctl is the operator's client of the administration API. It requests
// and confirms plans of intents and shows the state of the system.
package main

import (
	"crypto/tls"
	"fmt"
	"os"
	"os/user"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"tanagerbarrow/access"
	"tanagerbarrow/operator"
)

// Exit statuses other than 0.
const (
	exitFailed       = 1
	exitUsage        = 2
	exitRefused      = 3
	exitNotInForce   = 4
	exitUnauthorized = 5
)

// overview is the text at the head of the help.
const overview = `Operate tanagerbarrow: state an intent, read its plan, confirm the plan.

Nothing changes before the confirmation. "apply" does all three at a terminal;
"plan" and "confirm" do them one at a time. A command whose answer was lost can be
sent again with the same --command-id to any server: it returns the first answer
and never takes effect twice.

Exit status: 0 done, 1 failed, 2 wrong usage, 3 refused, 4 accepted but not yet
in force on every entry, 5 the operator key was refused.`

// options are the flags that every command has.
type options struct {
	servers       []string
	key, operator string
	ca            string
	json          bool
}

func main() {
	var o options
	app := kingpin.New("tanagerctl", overview)
	app.Flag("server", "Administration API of a control host, as URL; repeat it, or separate by commas, to try several in turn.").
		Envar("TANAGERCTL_SERVER").Default("http://127.0.0.1:7401").StringsVar(&o.servers)
	app.Flag("key", "Operator key.").Envar("TANAGERCTL_KEY").StringVar(&o.key)
	app.Flag("ca", "File of the certificate authorities in PEM form, for https servers.").
		Envar("TANAGERCTL_CA").StringVar(&o.ca)
	app.Flag("operator", "Name for the audit log.").Default(loginName()).StringVar(&o.operator)
	app.Flag("json", "Print JSON instead of tables.").BoolVar(&o.json)
	commands := intentCommands(app)
	commands = append(commands, viewCommands(app)...)
	commands = append(commands, replicaCommands(app)...)
	explainRequest := explainCommand(app)

	selected, err := app.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "tanagerctl: %v; try tanagerctl --help\n", err)
		os.Exit(exitUsage)
	}
	if selected == explainRequest.clause.FullCommand() {
		// explain reads log files and calls no server, so that it needs no client.
		explainRequest.run(&o, nil)
		return
	}
	c, err := o.client()
	exitOnError(err)
	for _, command := range commands {
		if command.clause.FullCommand() == selected {
			command.run(&o, c)
		}
	}
}

// command is one command of the program.
type command struct {
	clause *kingpin.CmdClause
	run    func(o *options, c *operator.Client)
}

// client returns a client that tries all configured servers in turn. It returns an error
// if there is no operator key or the certificate authorities cannot be loaded.
func (o *options) client() (*operator.Client, error) {
	if o.key == "" {
		return nil, errors.New("required flag --key not provided")
	}
	var servers []string
	for _, s := range o.servers {
		for _, url := range strings.Split(s, ",") {
			servers = append(servers, strings.TrimSuffix(strings.TrimSpace(url), "/"))
		}
	}
	c := operator.NewClient(servers[0], o.key, servers[1:]...)
	if o.ca == "" {
		return c, nil
	}
	pool, err := access.LoadAuthorities(o.ca)
	if err != nil {
		return nil, err
	}
	c.UseTLS(&tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool})
	return c, nil
}

// loginName returns the user name of the current process, or "unknown".
func loginName() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

// exitOnError prints err and exits if it is not nil.
func exitOnError(err error) {
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "tanagerctl:", err)
	if errors.Is(err, operator.ErrUnauthorized) {
		os.Exit(exitUnauthorized)
	}
	os.Exit(exitFailed)
}
