// Command simhost runs the decision module for the simulator, which sends it events over standard input and reads its decisions from
// standard output.
package main

import (
	"fmt"
	"os"

	"flaxfront/internal/decision"
	"flaxfront/internal/decision/routing"
	"flaxfront/internal/protocols/simwire"
)

func main() {
	host := simwire.NewHost(func(t decision.Settings) decision.Router { return routing.New(t) })
	if err := host.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
