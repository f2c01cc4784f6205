// Command rig plays the cases of the review: a small deployment of the project's own program, with stand-ins
// for the platform's store, servers and clients.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(dir string, trouble bool){}

func main() {
	if len(os.Args) > 2 && os.Args[1] == "server" {
		runServer(os.Args[2:])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "rig CASE DIR")
		os.Exit(2)
	}
	cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
}
