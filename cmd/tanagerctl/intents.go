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

// intentArguments are the command-line arguments that describe an intent.
type intentArguments struct {
	kind          string
	subject       string
	regions       []string
	force         bool
	serviceLimits state.ServiceLimits
	accountLimits state.AccountLimits
}

// confirmationArguments are the command-line arguments of a confirmation.
type confirmationArguments struct {
	planID, digest string
	commandID      string
	wait           bool
	timeout        time.Duration
	yes            bool
}

// intentCommands declares the commands that plan and confirm intents.
func intentCommands(app *kingpin.Application) []command {
	var planIntent, applyIntent intentArguments
	var confirmArguments, applyArguments confirmationArguments
	plan := app.Command("plan", "Show the plan of an intent; nothing changes yet.")
	planIntent.declare(plan)
	confirm := app.Command("confirm", "Confirm a plan; the system then carries it out.")
	confirm.Arg("plan", "The plan's id.").Required().StringVar(&confirmArguments.planID)
	confirm.Arg("digest", "The plan's digest.").Required().StringVar(&confirmArguments.digest)
	confirmArguments.declare(confirm)
	apply := app.Command("apply", "Show the plan of an intent, ask, and confirm it.")
	applyIntent.declare(apply)
	apply.Flag("yes", "Confirm without asking; refused if the configuration changed since the plan.").Short('y').BoolVar(&applyArguments.yes)
	applyArguments.declare(apply)
	return []command{
		{plan, func(o *options, c *operator.Client) { o.plan(c, planIntent.intent()) }},
		{confirm, func(o *options, c *operator.Client) { o.confirm(c, confirmArguments) }},
		{apply, func(o *options, c *operator.Client) { o.apply(c, applyIntent.intent(), applyArguments) }},
	}
}

// declare adds the arguments to a command.
func (a *intentArguments) declare(c *kingpin.CmdClause) {
	var kinds []string
	for _, k := range state.IntentKinds() {
		kinds = append(kinds, string(k))
	}
	c.Arg("intent", "Kind of intent: "+strings.Join(kinds, ", ")+".").Required().EnumVar(&a.kind, kinds...)
	c.Arg("subject", "Service, availability zone, client account or path prefix.").Required().StringVar(&a.subject)
	c.Flag("region", "Home region of a pin; repeat it for several.").StringsVar(&a.regions)
	c.Flag("force", "Allow an intent that leaves some pinned requests without a home region.").BoolVar(&a.force)
	service, account := &a.serviceLimits, &a.accountLimits
	optionalIntFlag(c, "queue-length", "set-service-limits: most requests that may wait on one entry.", &service.QueueLength)
	optionalIntFlag(c, "queue-wait-ms", "set-service-limits: longest wait, in milliseconds.", &service.QueueWaitMilliseconds)
	optionalIntFlag(c, "hedge-percent", "set-service-limits: hedged requests that an entry may add, in percent of its requests.", &service.HedgePercent)
	optionalIntFlag(c, "retry-percent", "set-service-limits: retries that an entry may add, in percent of its requests.", &service.RetryPercent)
	optionalIntFlag(c, "cold-requests", "set-service-limits: requests in progress that a cold backend server can take, over all entries.", &service.ColdRequests)
	optionalIntFlag(c, "cold-ms", "set-service-limits: time to warm up, in milliseconds.", &service.ColdMilliseconds)
	optionalIntFlag(c, "share-weight", "set-account-limits: weight of the account when accounts compete.", &account.ShareWeight)
	optionalIntFlag(c, "max-requests", "set-account-limits: most requests of the account in progress on one entry.", &account.MaxRequests)
}

// intent returns the intent that the arguments describe.
func (a *intentArguments) intent() state.Intent {
	i := state.Intent{Kind: state.IntentKind(a.kind), Subject: a.subject, Regions: a.regions, Force: a.force}
	if a.serviceLimits != (state.ServiceLimits{}) {
		i.ServiceLimits = &a.serviceLimits
	}
	if a.accountLimits != (state.AccountLimits{}) {
		i.AccountLimits = &a.accountLimits
	}
	return i
}

// optionalIntFlag adds an integer flag to a command; *target stays nil if the flag is
// absent.
func optionalIntFlag(c *kingpin.CmdClause, name, help string, target **int) {
	c.Flag(name, help).SetValue(optionalInt{target})
}

// declare adds the flags to a command.
func (a *confirmationArguments) declare(c *kingpin.CmdClause) {
	c.Flag("command-id", "Identifier of the command; repeat it to send the command again after its answer was lost.").
		Default(uuid.NewString()).StringVar(&a.commandID)
	c.Flag("wait", "Wait until the version is in force on every entry.").BoolVar(&a.wait)
	c.Flag("timeout", "Longest wait of --wait.").Default("30s").DurationVar(&a.timeout)
}

// plan requests the plan of an intent and prints it.
func (o *options) plan(c *operator.Client, i state.Intent) {
	p, err := c.Plan(i)
	exitOnError(err)
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

// confirm confirms a plan, prints the answer and, with --wait, waits for its version.
func (o *options) confirm(c *operator.Client, a confirmationArguments) {
	answer := o.sendConfirmation(c, a)
	if o.json {
		printJSON(answer)
	} else {
		printAnswer(answer)
	}
	o.exitOrWait(c, answer, a)
}

// sendConfirmation sends a confirmation. On an error it prints the command that sends
// the confirmation again, and exits.
func (o *options) sendConfirmation(c *operator.Client, a confirmationArguments) state.Answer {
	answer, err := c.Confirm(a.planID, operator.Confirmation{ID: a.commandID, Operator: o.operator, Digest: a.digest})
	if err != nil {
		fmt.Fprintf(os.Stderr, "the command may or may not have taken effect; send it again with:\n"+
			"  tanagerctl confirm %s %s --command-id %s\n", a.planID, a.digest, a.commandID)
	}
	exitOnError(err)
	return answer
}

// exitOrWait exits if the command was refused. Otherwise, with --wait, it waits until
// the accepted version is in force.
func (o *options) exitOrWait(c *operator.Client, answer state.Answer, a confirmationArguments) {
	if !answer.Accepted {
		os.Exit(exitRefused)
	}
	if a.wait {
		waitFor(c, answer.Version, a.timeout)
	}
}

// applyOutput is the JSON output of apply.
type applyOutput struct {
	Plan   state.Plan    `json:"plan"`
	Answer *state.Answer `json:"answer,omitempty"`
}

// apply requests a plan, asks the operator and confirms it. If the configuration
// changed in between, it shows the new plan and asks again.
func (o *options) apply(c *operator.Client, i state.Intent, a confirmationArguments) {
	if o.json && !a.yes {
		fmt.Fprintln(os.Stderr, "tanagerctl: apply with --json needs --yes")
		os.Exit(exitUsage)
	}
	p, err := c.Plan(i)
	exitOnError(err)
	for {
		answer := o.applyOnce(c, p, a)
		if answer.Accepted || answer.NewPlan == nil || a.yes {
			o.exitOrWait(c, answer, a)
			return
		}
		p, a.commandID = *answer.NewPlan, uuid.NewString()
	}
}

// applyOnce shows one plan, asks the operator and confirms it.
func (o *options) applyOnce(c *operator.Client, p state.Plan, a confirmationArguments) state.Answer {
	if !o.json {
		printPlan(p)
	}
	if p.Refusal != "" {
		if o.json {
			printJSON(applyOutput{Plan: p})
		}
		os.Exit(exitRefused)
	}
	if !a.yes && !askConfirmation() {
		fmt.Println("not confirmed; nothing was changed")
		os.Exit(exitRefused)
	}
	a.planID, a.digest = p.ID, p.Digest
	answer := o.sendConfirmation(c, a)
	if o.json {
		printJSON(applyOutput{Plan: p, Answer: &answer})
	} else {
		printAnswer(answer)
	}
	return answer
}

// askConfirmation asks the operator at the terminal whether to confirm. Any answer
// but y or yes means no.
func askConfirmation() bool {
	fmt.Print("Confirm this plan? [y/N] ")
	line, _ := bufio.NewReader(os.Stdin).ReadString('\n')
	answer := strings.ToLower(strings.TrimSpace(line))
	return answer == "y" || answer == "yes"
}
