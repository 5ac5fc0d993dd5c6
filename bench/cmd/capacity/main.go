// Command capacity prints how the cost of each role grows with size.
package main

import (
	"os"

	"tanagerbarrow/bench/capacity"
)

func main() {
	components := capacity.Components()
	for i := range components {
		components[i].Print(os.Stdout)
	}
}
