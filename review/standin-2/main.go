// Command standin2 runs the scripts of the second review: the project's nodes as
// processes, with stand-ins for the platform's store, servers and clients.
package main

import (
	"fmt"
	"os"
)

// Exit statuses of a script.
const (
	held   = 0
	broken = 1
	failed = 2
)

var scripts = map[string]func(w *World) (bool, error){}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 {
		fmt.Println("usage: standin2 SCRIPT ROOT DIR")
		return failed
	}
	script := scripts[os.Args[1]]
	if script == nil {
		fmt.Println("no such script")
		return failed
	}
	w, err := newWorld(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Println(err)
		return failed
	}
	defer w.close()
	isBroken, err := script(w)
	switch {
	case err != nil:
		w.record.say("the case could not run: %v", err)
		return failed
	case isBroken:
		w.record.say("the rule was broken")
		return broken
	}
	w.record.say("the rule held")
	return held
}
