// Command regression plays quick scores of the users' deployments on their bench and
// prints the worth of each day beside the one that the journal recorded last.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
)

// defaultSites are the deployments that are played, relative to the folder of the
// site files.
var defaultSites = []string{
	"large/khonkh-gate-large.toml", "further/clapperwright-gw.toml", "further-grown/clapperwright-gw-grown.toml",
	"grown/khonkh-gate-grown.toml", "grown/quiros-gaveta-grown.toml",
}

// journalFolder is the folder in which the bench records its runs.
const journalFolder = "journal"

func main() {
	app := kingpin.New("regression", "Plays quick scores of deployments and compares them with the journal.")
	bench := app.Flag("bench", "Path of the users' bench.").Required().ExistingFile()
	folder := app.Flag("sites", "Folder of the site files.").Required().ExistingDir()
	jobs := app.Flag("jobs", "Days that are played at the same time.").Default("3").Int()
	sites := app.Arg("site", "Site files, relative to the folder.").Strings()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if len(*sites) == 0 {
		*sites = defaultSites
	}
	failed := false
	for _, site := range *sites {
		passed, err := playSite(*bench, filepath.Join(*folder, site), *jobs)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
		failed = failed || err != nil || !passed
	}
	if failed {
		os.Exit(1)
	}
}

// playSite plays the quick score of one site, prints its comparison and reports
// whether all days passed the gate.
func playSite(bench, site string, jobs int) (bool, error) {
	before, err := readJournal(journalFolder)
	if err != nil {
		return false, err
	}
	command := exec.Command(bench, "score", site, "--quick", "--jobs", fmt.Sprint(jobs), "--why", "Regression run")
	command.Stdout, command.Stderr = os.Stderr, os.Stderr
	runErr := command.Run()
	after, err := readJournal(journalFolder)
	if err != nil {
		return false, err
	}
	if len(after) == len(before) {
		return false, errors.Wrapf(runErr, "the bench recorded no run of %s", site)
	}
	return printComparison(os.Stdout, after[len(after)-1], before), nil
}
