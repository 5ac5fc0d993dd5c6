// Command capacity prints how the cost of each role grows with size.
package main

import (
	"os"

	"tanagerbarrow/bench/capacity"
)

func main() {
	parts := capacity.Components()
	for i := range parts {
		parts[i].Print(os.Stdout)
	}
}
