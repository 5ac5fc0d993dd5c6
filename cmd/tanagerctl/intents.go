package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"

	"tanagerbarrow/operator"
	"tanagerbarrow/state"
)

// intentArguments are the arguments of an intent.
type intentArguments struct {
	kind    string
	subject string
	regions []string
	force   bool
	service state.ServiceLimits
	account state.AccountLimits
}

// commandArguments are the arguments of a confirmation.
type commandArguments struct {
	plan, digest string
	id           string
	wait         bool
	timeout      time.Duration
	yes          bool
}

// intentCommands declares the commands that state and confirm intents.
func intentCommands(app *kingpin.Application) []command {
	var planned, applied intentArguments
	var confirmed, carried commandArguments
	plan := app.Command("plan", "State an intent and show its plan; nothing happens yet.")
	planned.declare(plan)
	confirm := app.Command("confirm", "Confirm a plan; the system then acts on it.")
	confirm.Arg("plan", "The plan's id.").Required().StringVar(&confirmed.plan)
	confirm.Arg("digest", "The plan's digest.").Required().StringVar(&confirmed.digest)
	confirmed.declare(confirm)
	apply := app.Command("apply", "State an intent, show its plan, ask, and confirm it.")
	applied.declare(apply)
	apply.Flag("yes", "Confirm without asking, unless the configuration changed in between.").Short('y').BoolVar(&carried.yes)
	carried.declare(apply)
	return []command{
		{plan, func(o *options, c *operator.Client) { o.plan(c, planned.intent()) }},
		{confirm, func(o *options, c *operator.Client) { o.confirm(c, confirmed) }},
		{apply, func(o *options, c *operator.Client) { o.apply(c, applied.intent(), carried) }},
	}
}

// declare declares the arguments on a command.
func (a *intentArguments) declare(c *kingpin.CmdClause) {
	var kinds []string
	for _, k := range state.IntentKinds() {
		kinds = append(kinds, string(k))
	}
	c.Arg("intent", "What is wanted: "+strings.Join(kinds, ", ")+".").Required().EnumVar(&a.kind, kinds...)
	c.Arg("subject", "Service, availability zone, client account or path prefix.").Required().StringVar(&a.subject)
	c.Flag("region", "Home region of a pin; repeat it for several.").StringsVar(&a.regions)
	c.Flag("force", "Do it although some pinned requests would have no home.").BoolVar(&a.force)
	s, t := &a.service, &a.account
	optional(c, "queue-length", "set-service-limits: requests that may wait on one entry.", &s.QueueLength)
	optional(c, "queue-wait-ms", "set-service-limits: longest wait, in milliseconds.", &s.QueueWaitMilliseconds)
	optional(c, "hedge-percent", "set-service-limits: hedged requests, in percent of requests.", &s.HedgePercent)
	optional(c, "retry-percent", "set-service-limits: retries, in percent of requests.", &s.RetryPercent)
	optional(c, "cold-requests", "set-service-limits: requests in progress that a cold backend server bears.", &s.ColdRequests)
	optional(c, "cold-ms", "set-service-limits: time to warm up, in milliseconds.", &s.ColdMilliseconds)
	optional(c, "share-weight", "set-account-limits: weight of the account when accounts compete.", &t.ShareWeight)
	optional(c, "max-requests", "set-account-limits: requests in progress on one entry.", &t.MaxRequests)
}

// intent returns the intent that the arguments state.
func (a *intentArguments) intent() state.Intent {
	i := state.Intent{Kind: state.IntentKind(a.kind), Subject: a.subject, Regions: a.regions, Force: a.force}
	if a.service != (state.ServiceLimits{}) {
		i.ServiceLimits = &a.service
	}
	if a.account != (state.AccountLimits{}) {
		i.AccountLimits = &a.account
	}
	return i
}

// optional declares a flag for a whole number that may be absent.
func optional(c *kingpin.CmdClause, name, help string, into **int) {
	c.Flag(name, help).SetValue(optionalInt{into})
}

// declare declares the flags on a command.
func (a *commandArguments) declare(c *kingpin.CmdClause) {
	c.Flag("command-id", "Identifies the command, to send it again after its answer was lost.").
		Default(uuid.NewString()).StringVar(&a.id)
	c.Flag("wait", "Wait until the version is in force on every entry.").BoolVar(&a.wait)
	c.Flag("timeout", "Longest wait of --wait.").Default("30s").DurationVar(&a.timeout)
}

// plan states an intent and prints its plan.
func (o *options) plan(c *operator.Client, i state.Intent) {
	p, err := c.Plan(i)
	exitOn(err)
	if o.json {
		printJSON(p)
	} else {
		printPlan(p)
		if p.Refusal == "" {
			fmt.Printf("confirm with: tanagerctl confirm %s %s\n", p.ID, p.Digest)
		}
	}
	if p.Refusal != "" {
		os.Exit(exitRefused)
	}
}

// confirm confirms a plan and prints the answer.
func (o *options) confirm(c *operator.Client, a commandArguments) {
	answer := o.send(c, a)
	if o.json {
		printJSON(answer)
	} else {
		printAnswer(answer)
	}
	o.finish(c, answer, a)
}

// send sends a confirmation. Without an answer it says how to send it again.
func (o *options) send(c *operator.Client, a commandArguments) state.Answer {
	answer, err := c.Confirm(a.plan, operator.Confirmation{ID: a.id, Operator: o.operator, Digest: a.digest})
	if err != nil {
		fmt.Fprintf(os.Stderr, "whether the command took effect is not known; ask again with:\n"+
			"  tanagerctl confirm %s %s --command-id %s\n", a.plan, a.digest, a.id)
	}
	exitOn(err)
	return answer
}

// finish ends the program after an answer, or waits for its version.
func (o *options) finish(c *operator.Client, answer state.Answer, a commandArguments) {
	if !answer.Accepted {
		os.Exit(exitRefused)
	}
	if a.wait {
		waitFor(c, answer.Version, a.timeout)
	}
}

// applied is the JSON output of apply.
type applied struct {
	Plan   state.Plan    `json:"plan"`
	Answer *state.Answer `json:"answer,omitempty"`
}

// apply plans, asks and confirms. If the configuration changed in between, it
// shows the new plan and asks again.
func (o *options) apply(c *operator.Client, i state.Intent, a commandArguments) {
	if o.json && !a.yes {
		fmt.Fprintln(os.Stderr, "tanagerctl: apply with --json needs --yes")
		os.Exit(exitUsage)
	}
	p, err := c.Plan(i)
	exitOn(err)
	for {
		answer := o.applyOnce(c, p, a)
		if answer.Accepted || answer.NewPlan == nil || a.yes {
			o.finish(c, answer, a)
			return
		}
		p, a.id = *answer.NewPlan, uuid.NewString()
	}
}

// applyOnce shows one plan, asks, and confirms it.
func (o *options) applyOnce(c *operator.Client, p state.Plan, a commandArguments) state.Answer {
	if !o.json {
		printPlan(p)
	}
	if p.Refusal != "" {
		if o.json {
			printJSON(applied{Plan: p})
		}
		os.Exit(exitRefused)
	}
	if !a.yes && !ask() {
		fmt.Println("nothing was done")
		os.Exit(exitRefused)
	}
	a.plan, a.digest = p.ID, p.Digest
	answer := o.send(c, a)
	if o.json {
		printJSON(applied{Plan: p, Answer: &answer})
	} else {
		printAnswer(answer)
	}
	return answer
}

// ask asks the person at the terminal. Anything but yes means no.
func ask() bool {
	fmt.Print("Do it? [y/N] ")
	line, _ := bufio.NewReader(os.Stdin).ReadString('\n')
	answer := strings.ToLower(strings.TrimSpace(line))
	return answer == "y" || answer == "yes"
}
