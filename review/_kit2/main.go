// Command kit2 plays the cases of the second review. Each case starts the project's own programs
// as separate processes on loopback addresses, plays clients, backend servers and the platform
// with stand-ins, and checks one rule from what these see.
//
//	kit2 CASE FOLDER
//
// FOLDER receives record.txt. With TROUBLE=0 in the environment, the disruption is left out. The
// exit status is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// scenario is a case: the site whose settings it takes, and what it plays. It returns the violations
// of its rule, or an error if it could not run.
type scenario struct {
	site site
	play func(w *world, trouble bool) ([]string, error)
}

// scenarios are the cases by their names.
var scenarios = map[string]scenario{
	"founder-disk":   {khonkhGate, playFounderDisk},
	"crashed-page":   {khonkhGate, playCrashedPage},
	"absolute-form":  {khonkhGate, playAbsoluteForm},
	"gone-pipelined": {emgcSerrana, playGonePipelined},
	"stop-upload":    {khonkhGateGrown, playStopUpload},
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]].play == nil {
		fmt.Fprintln(os.Stderr, "usage: kit2 CASE FOLDER")
		return statusNotRun
	}
	w, err := newWorld(scenarios[os.Args[1]].site, os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer w.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		w.close()
		os.Exit(statusNotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("case %s, settings of %s, trouble %v", os.Args[1], w.site.name, trouble)
	broken, err := scenarios[os.Args[1]].play(w, trouble)
	if err != nil {
		w.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return statusNotRun
	}
	for _, b := range broken {
		w.note("BROKEN %s", b)
		fmt.Println("broken:", b)
	}
	if len(broken) > 0 {
		return statusBroken
	}
	w.note("the rule held")
	fmt.Println("the rule held")
	return statusHeld
}
