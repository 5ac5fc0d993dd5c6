// Command tanagerctl states intents to the administration API, shows plans and
// confirms them.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/user"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"

	"tanagerbarrow/operator"
	"tanagerbarrow/state"
)

// The exit statuses besides 0.
const (
	exitFailed  = 1
	exitRefused = 3
)

// options are the flags of every command.
type options struct {
	server, key, operator string
	json                  bool
}

func main() {
	var o options
	app := kingpin.New("tanagerctl", "Operate tanagerbarrow: state an intent, read the plan, confirm it.")
	app.Flag("server", "Administration API of a control host, as URL.").Envar("TANAGERCTL_SERVER").
		Default("http://127.0.0.1:7401").StringVar(&o.server)
	app.Flag("key", "Operator key.").Envar("TANAGERCTL_KEY").Required().StringVar(&o.key)
	app.Flag("operator", "Name for the audit log.").Default(loginName()).StringVar(&o.operator)
	app.Flag("json", "Print JSON in place of tables.").BoolVar(&o.json)

	plan := app.Command("plan", "State an intent and show its plan; nothing happens yet.")
	kind := plan.Arg("intent", "What is wanted: "+strings.Join(kinds(), ", ")+".").Required().Enum(kinds()...)
	subject := plan.Arg("subject", "Service, availability zone, client account or path prefix.").Required().String()
	regions := plan.Flag("region", "Home region of a pin; repeat it for several.").Strings()
	confirm := app.Command("confirm", "Confirm a plan; the system then acts on it.")
	id := confirm.Arg("plan", "The plan's id.").Required().String()
	digest := confirm.Arg("digest", "The plan's digest.").Required().String()
	status := app.Command("status", "Show the replicas and the version on each host.")
	configuration := app.Command("configuration", "Show the newest accepted configuration as JSON.")

	command := kingpin.MustParse(app.Parse(os.Args[1:]))
	c := operator.NewClient(o.server, o.key)
	switch command {
	case plan.FullCommand():
		o.plan(c, state.Intent{Kind: state.Kind(*kind), Subject: *subject, Regions: *regions})
	case confirm.FullCommand():
		o.confirm(c, *id, *digest)
	case status.FullCommand():
		o.status(c)
	case configuration.FullCommand():
		got, err := c.Configuration()
		exitOn(err)
		printJSON(got)
	}
}

// kinds returns the intents that an operator can state.
func kinds() []string {
	return []string{
		string(state.AdmitService), string(state.RetireService),
		string(state.TakeZoneOut), string(state.BringZoneBack),
		string(state.PinAccount), string(state.UnpinAccount),
		string(state.PinRoute), string(state.UnpinRoute),
	}
}

// loginName returns the name of the person at the terminal.
func loginName() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

// plan states an intent and prints its plan.
func (o *options) plan(c *operator.Client, i state.Intent) {
	p, err := c.Plan(i)
	exitOn(err)
	if o.json {
		printJSON(p)
	} else {
		printPlan(p)
	}
	if p.Refusal != "" {
		os.Exit(exitRefused)
	}
}

// printPlan prints a plan for a person.
func printPlan(p state.Plan) {
	if p.Refusal != "" {
		fmt.Printf("refused: %s\n", p.Refusal)
		return
	}
	fmt.Printf("plan %s on version %d: %s %s\n", p.ID, p.BaseVersion, p.Intent.Kind, p.Intent.Subject)
	for _, step := range p.Steps {
		fmt.Printf("  - %s\n", step)
	}
	fmt.Printf("confirm with: tanagerctl confirm %s %s\n", p.ID, p.Digest)
}

// confirm confirms a plan and prints the answer.
func (o *options) confirm(c *operator.Client, id, digest string) {
	answer, err := c.Confirm(id, operator.Confirmation{Operator: o.operator, Digest: digest})
	exitOn(err)
	if o.json {
		printJSON(answer)
	} else if answer.Accepted {
		fmt.Printf("accepted: version %d\n", answer.Version)
	} else {
		fmt.Printf("refused: %s; version %d is by %s (%s)\n",
			answer.Reason, answer.Version, answer.WinnerOperator, answer.Winner)
	}
	if !answer.Accepted {
		os.Exit(exitRefused)
	}
}

// status prints the replicas and the version on each host.
func (o *options) status(c *operator.Client) {
	s, err := c.Status()
	exitOn(err)
	if o.json {
		printJSON(s)
		return
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "REPLICA\tLEADER\tTERM\tCOMMIT\tVERSION\n%s\t%s\t%d\t%d\t%d\n\nHOST\tVERSION\n",
		s.Replica.ID, s.Replica.Leader, s.Replica.Term, s.Replica.CommitIndex, s.Version)
	var names []string
	for name := range s.Hosts {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(w, "%s\t%d\n", name, s.Hosts[name])
	}
	exitOn(w.Flush())
}

// printJSON prints a value as JSON.
func printJSON(v any) {
	out := json.NewEncoder(os.Stdout)
	out.SetIndent("", "  ")
	exitOn(out.Encode(v))
}

// exitOn ends the program if err is not nil.
func exitOn(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "tanagerctl:", err)
		os.Exit(exitFailed)
	}
}
