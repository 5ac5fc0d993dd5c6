// Command kit runs the cases of the review: small deployments of the project's programs
// on loopback addresses, with stand-ins for clients, endpoints and the operator.
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
)

// cases are the cases by their names. Each returns the breaks that it saw.
var cases = map[string]func(*world) []string{
	"core-replaced": coreReplaced,
	"late-order":    lateOrder,
	"extra-answer":  extraAnswer,
	"upgrade":       upgrade,
	"double-slash":  doubleSlash,
	"first-start":   firstStart,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: kit CASE RECORD")
		os.Exit(2)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}

// runCase runs a case and returns the exit code.
func runCase(check func(*world) []string, recordPath string) (code int) {
	var w *world
	defer func() {
		reason := recover()
		if r, cannot := reason.(errCannotRun); cannot {
			fmt.Println("could not run:", r.reason)
			if w != nil {
				w.record.say("could not run: %s", r.reason)
			}
			code = 2
		}
		if w != nil {
			w.close()
		}
		if reason != nil && code != 2 {
			panic(reason)
		}
	}()
	w = newWorld(recordPath)
	breaks := check(w)
	for i, b := range breaks {
		w.record.say("BROKEN: %s", b)
		if i < 5 {
			fmt.Println("BROKEN:", b)
		}
	}
	fmt.Printf("%d breaks\n", len(breaks))
	w.record.say("%d breaks", len(breaks))
	if len(breaks) > 0 {
		return 1
	}
	return 0
}

// configuration returns a configuration with one service and one route.
func configuration(version int, service, host, prefix, kind string, timeoutMillis int) string {
	return fmt.Sprintf(`{"version":"r%d","routes":[{"name":"route-1","host":%q,"pathPrefix":%q,"kind":%q,"timeoutMs":%d,"targetLatencyMs":800,"priority":1,"service":%q,"attempts":2,"allowedRegions":[]}],`+
		`"services":[{"name":%q,"healthCheckPath":"/health","connectionLimit":260,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":2.5}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`,
		version, host, prefix, kind, timeoutMillis, service, service)
}
