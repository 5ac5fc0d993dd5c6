// Command kit runs the cases of this review that can't be written as days.
package main

import (
	"fmt"
	"os"
)

// simpleConfiguration has a safe and an unsafe route to one service.
func simpleConfiguration(version int) []byte {
	return fmt.Appendf(nil, `{"version":"r%d","routes":[
{"name":"r-safe","host":"h.example","pathPrefix":"/safe/","kind":"safe","timeoutMs":4000,"targetLatencyMs":600,"priority":2,"service":"bell","attempts":2,"allowedRegions":[]},
{"name":"r-once","host":"h.example","pathPrefix":"/once/","kind":"unsafe","timeoutMs":5000,"targetLatencyMs":800,"priority":1,"service":"bell","attempts":2,"allowedRegions":[]}],
"services":[{"name":"bell","healthCheckPath":"/health","connectionLimit":260,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":9.2}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, version)
}

// cases are the cases by name. Each reports whether its rule was broken.
var cases = map[string]func(rec *record, trouble bool) (broken bool, err error){
	"memory": memoryCase,
	"storm":  stormCase,
}

// programPath is the path of the system's program.
var programPath string

func main() {
	os.Exit(runCase())
}

// runCase runs the case that the arguments name, with the program of the deploy file and the path of the record, and
// returns the exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
func runCase() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: kit CASE PROGRAM RECORD")
		return 2
	}
	programPath = os.Args[2]
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	broken, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.line("the case couldn't run: %v", err)
		return 2
	case broken:
		rec.line("the rule was broken")
		return 1
	default:
		rec.line("the rule held")
		return 0
	}
}
