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

// replicaCommands declares the commands about control replicas.
func replicaCommands(app *kingpin.Application) []command {
	list := app.Command("replicas", "Show the replicated groups of a control host and their members.")
	commands := []command{{list, func(o *options, c *operator.Client) { o.replicas(c) }}}
	change := app.Command("replica", "Plan a change of the control replicas; confirm it with --confirm.")
	commands = append(commands, replicaCommand(change, consensus.AddReplica, "Let a host vote once it has synced."))
	commands = append(commands, replicaCommand(change, consensus.RemoveReplica, "End a host's part."))
	return append(commands, replicaCommand(change, consensus.ReplaceReplica, "Let a host vote in another one's place."))
}

// replicaCommand declares one kind of change.
func replicaCommand(parent *kingpin.CmdClause, kind consensus.ChangeKind, help string) command {
	clause := parent.Command(string(kind), help)
	i := operator.ReplicaIntent{Change: consensus.Change{Kind: kind}}
	clause.Arg("host", "Name of the host.").Required().StringVar(&i.Change.Name)
	if kind != consensus.RemoveReplica {
		clause.Arg("address", "Peer address of the host, as IP:port; its process must run.").
			Required().StringVar(&i.Change.Address)
	}
	if kind == consensus.ReplaceReplica {
		clause.Flag("leaves", "Name of the host that leaves.").Required().StringVar(&i.Change.Replaces)
	}
	clause.Flag("confirm", "Digest of the plan, to carry it out.").StringVar(&i.Digest)
	return command{clause, func(o *options, c *operator.Client) { o.changeReplicas(c, i) }}
}

// replicas prints the groups of a control host.
func (o *options) replicas(c *operator.Client) {
	groups, err := c.Replicas()
	exitOn(err)
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
	exitOn(w.Flush())
}

// memberNames lists the members; the leader also knows which are silent.
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

// changeReplicas prints a plan or carries it out.
func (o *options) changeReplicas(c *operator.Client, i operator.ReplicaIntent) {
	i.Operator = o.operator
	p, err := c.ChangeReplicas(i)
	exitOn(err)
	if o.json {
		printJSON(p)
	} else {
		printReplicaPlan(p)
	}
	if p.Refusal != "" {
		os.Exit(exitRefused)
	}
}

// printReplicaPlan prints a plan for a person.
func printReplicaPlan(p operator.ReplicaPlan) {
	if p.Refusal != "" {
		fmt.Printf("refused: %s\n", p.Refusal)
		return
	}
	for _, s := range p.Groups {
		fmt.Printf("%s: %s; voters %d, then %d; survives %d losses, then %d\n",
			s.Group, s.Description, s.VotersBefore, s.VotersAfter, s.ToleratedFailuresBefore, s.ToleratedFailuresAfter)
	}
	if p.Accepted {
		fmt.Println("accepted; tanagerctl replicas shows the progress")
		return
	}
	fmt.Printf("nothing has happened; confirm by the same command with --confirm %s\n", p.Digest)
}
