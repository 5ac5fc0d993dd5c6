package main

import (
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"tanagerbarrow/operator"
)

// statusPollInterval is the time between two status requests of waitFor.
const statusPollInterval = 100 * time.Millisecond

// viewCommands declares the read-only commands.
func viewCommands(app *kingpin.Application) []command {
	status := app.Command("status", "Show the replicas and the version on each host.")
	configuration := app.Command("configuration", "Show the newest accepted configuration as JSON.")
	history := app.Command("history", "Show the audit log, newest record last.")
	limit := history.Flag("limit", "Number of records.").Default("20").Int()
	wait := app.Command("wait", "Wait until a version is in force on every entry.")
	version := wait.Arg("version", "The version.").Required().Uint64()
	timeout := wait.Flag("timeout", "Longest wait.").Default("30s").Duration()
	return []command{
		{status, func(o *options, c *operator.Client) { o.status(c) }},
		{configuration, func(_ *options, c *operator.Client) {
			got, err := c.Configuration()
			exitOnError(err)
			printJSON(got)
		}},
		{history, func(o *options, c *operator.Client) { o.history(c, *limit) }},
		{wait, func(_ *options, c *operator.Client) { waitFor(c, *version, *timeout) }},
	}
}

// status prints the replicas and the version on each host.
func (o *options) status(c *operator.Client) {
	s, err := c.Status()
	exitOnError(err)
	if o.json {
		printJSON(s)
		return
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "REPLICA\tLEADER\tTERM\tCOMMIT\tVERSION\n%s\t%s\t%d\t%d\t%d\n\n",
		s.Replica.Host, s.Replica.Leader, s.Replica.Term, s.Replica.CommitIndex, s.Version)
	fmt.Fprintf(w, "CONTROL\tVERSION\tIN TOUCH WITH THE QUORUM\n")
	for _, h := range s.Controls {
		fmt.Fprintln(w, controlRow(h))
	}
	fmt.Fprintf(w, "\nENTRY\tZONE\tVERSION\tLAST HEARD\tBY\n")
	for _, h := range s.Entries {
		fmt.Fprintln(w, entryRow(h, s.Version))
	}
	exitOnError(w.Flush())
	for _, row := range s.UnadmittedServers {
		fmt.Printf("\nheld: %d backend servers of service %q in %s; the service is not admitted\n",
			row.Servers, row.Service, row.AvailabilityZone)
	}
}

// controlRow returns the table row of one control host.
func controlRow(c operator.ControlStatus) string {
	if !c.Answered {
		return c.Host + "\t-\tno answer"
	}
	ago := time.Duration(c.QuorumContactMillisecondsAgo) * time.Millisecond
	return fmt.Sprintf("%s\t%d\t%s ago", c.Host, c.Version, ago)
}

// entryRow returns the table row of one entry host.
func entryRow(h operator.HostStatus, newest uint64) string {
	if !h.Seen {
		return fmt.Sprintf("%s\t%s\t-\tnever\t-", h.Host, h.AvailabilityZone)
	}
	suffix := ""
	if h.Version < newest {
		suffix = " (behind)"
	}
	ago := time.Duration(h.LastSeenMillisecondsAgo) * time.Millisecond
	return fmt.Sprintf("%s\t%s\t%d%s\t%s ago\t%s", h.Host, h.AvailabilityZone, h.Version, suffix, ago, h.LastSeenBy)
}

// history prints the newest records of the audit log.
func (o *options) history(c *operator.Client, limit int) {
	h, err := c.History(limit)
	exitOnError(err)
	if o.json {
		printJSON(h)
		return
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "WHEN\tWHO\tVERSION\tOUTCOME\tINTENT\tCHANGED")
	for _, r := range h.Records {
		outcome, intent := "accepted", "-"
		if !r.Accepted {
			outcome = "refused: " + r.Reason
		}
		if r.Intent != nil {
			intent = string(r.Intent.Kind) + " " + r.Intent.Subject
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\n", r.At.Format(time.RFC3339), r.Operator, r.Version,
			outcome, intent, strings.Join(r.Changes, "; "))
	}
	exitOnError(w.Flush())
}

// waitFor waits until a version is in force on every entry and prints the progress
// to standard error. After the timeout it exits with exitNotInForce.
func waitFor(c *operator.Client, version uint64, timeout time.Duration) {
	shown := ""
	var pending []string
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(statusPollInterval) {
		s, err := c.Status()
		if err != nil {
			fmt.Fprintln(os.Stderr, "status:", err)
			continue
		}
		pending = entriesBehind(s, version)
		progress := fmt.Sprintf("version %d is in force on %d of %d entries", version, len(s.Entries)-len(pending), len(s.Entries))
		if progress != shown {
			fmt.Fprintln(os.Stderr, progress)
			shown = progress
		}
		if len(pending) == 0 {
			return
		}
	}
	fmt.Fprintf(os.Stderr, "version %d is not in force after %s on: %s\n", version, timeout, strings.Join(pending, ", "))
	os.Exit(exitNotInForce)
}

// entriesBehind returns the entries on which the version is not in force, each with
// the time since its last report.
func entriesBehind(s operator.Status, version uint64) []string {
	var names []string
	for _, h := range s.Entries {
		switch {
		case !h.Seen:
			names = append(names, h.Host+" (no report)")
		case h.Version < version:
			ago := time.Duration(h.LastSeenMillisecondsAgo) * time.Millisecond
			names = append(names, fmt.Sprintf("%s (version %d, reported %s ago)", h.Host, h.Version, ago))
		}
	}
	return names
}
