package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"

	"tanagerbarrow/consensus"
	"tanagerbarrow/consensus/raft"
	"tanagerbarrow/operator"
)

// replicaCommands declares the commands that show and change the control replicas.
func replicaCommands(app *kingpin.Application) []command {
	list := app.Command("replicas", "Show the replicated groups of a control host and their members.")
	commands := []command{{list, func(o *options, c *operator.Client) { o.replicas(c) }}}
	change := app.Command("replica", "Plan a change of the control replicas; confirm it with --confirm.")
	commands = append(commands, replicaCommand(change, consensus.AddReplica, "Add a host; it votes once it has synchronized."))
	commands = append(commands, replicaCommand(change, consensus.RemoveReplica, "Remove a host."))
	return append(commands, replicaCommand(change, consensus.ReplaceReplica, "Replace a host by another."))
}

// replicaCommand declares the command for one kind of membership change.
func replicaCommand(parent *kingpin.CmdClause, kind consensus.ChangeKind, help string) command {
	clause := parent.Command(string(kind), help)
	i := operator.ReplicaIntent{Change: consensus.Change{Kind: kind}}
	clause.Arg("host", "Name of the host.").Required().StringVar(&i.Change.Name)
	if kind != consensus.RemoveReplica {
		clause.Arg("address", "Peer address of the host, as IP:port; its process must run.").
			Required().StringVar(&i.Change.Address)
	}
	if kind == consensus.ReplaceReplica {
		clause.Flag("leaves", "Name of the host that is replaced.").Required().StringVar(&i.Change.Replaces)
	}
	clause.Flag("confirm", "Digest of the plan to carry out.").StringVar(&i.Digest)
	return command{clause, func(o *options, c *operator.Client) { o.changeReplicas(c, i) }}
}

// replicas prints the groups of a control host.
func (o *options) replicas(c *operator.Client) {
	groups, err := c.Replicas()
	exitOnError(err)
	if o.json {
		printJSON(groups)
		return
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "GROUP\tROLE\tLEADER\tTERM\tCOMMIT\tAPPLIED\tMEMBERS")
	for _, s := range groups {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%s\n",
			s.Group, s.Role, s.Leader, s.Term, s.CommitIndex, s.AppliedIndex, memberNames(s))
	}
	exitOnError(w.Flush())
}

// memberNames lists the members. Only the leader knows which members answer, so that
// only its list marks silent ones.
func memberNames(s consensus.Status) string {
	var names []string
	for _, m := range s.Members.All() {
		name := m.Name
		if s.Members.IsLearner(m.ID) {
			name += " (learns)"
		}
		if s.Role == raft.Leader.String() && !slices.Contains(s.Answering, m.ID) {
			name += " (silent)"
		}
		names = append(names, name)
	}
	return strings.Join(names, ", ")
}

// changeReplicas prints the plan of a change, or carries it out if its digest is given.
func (o *options) changeReplicas(c *operator.Client, i operator.ReplicaIntent) {
	i.Operator = o.operator
	p, err := c.ChangeReplicas(i)
	exitOnError(err)
	if o.json {
		printJSON(p)
	} else {
		printReplicaPlan(p)
	}
	if p.Refusal != "" {
		os.Exit(exitRefused)
	}
}

// printReplicaPlan prints a plan as text.
func printReplicaPlan(p operator.ReplicaPlan) {
	if p.Refusal != "" {
		fmt.Printf("refused: %s\n", p.Refusal)
		return
	}
	for _, s := range p.Groups {
		fmt.Printf("%s: %s; voters %d, then %d; tolerates %d failures, then %d\n",
			s.Group, s.Description, s.VotersBefore, s.VotersAfter, s.ToleratedFailuresBefore, s.ToleratedFailuresAfter)
	}
	if p.Accepted {
		fmt.Println("accepted; \"tanagerctl replicas\" shows the progress")
		return
	}
	fmt.Printf("nothing was changed; to confirm, repeat the command with --confirm %s\n", p.Digest)
}
