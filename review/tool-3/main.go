// Command tool-3 holds the cases of the third review that are scripts, with their stand-ins.
package main

import (
	"errors"
	"fmt"
	"os"
)

// errBroken means that the rule of a case was broken.
var errBroken = errors.New("the rule was broken")

// cases are the cases by name.
var cases = map[string]func(*env) error{}

// Exit statuses.
const (
	statusHeld   = 0
	statusBroken = 1
	statusFailed = 2
)

// main runs a case: tool-3 CASE ROOT RECORD.
func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: tool-3 CASE ROOT RECORD")
		os.Exit(statusFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, root, record string) int {
	e, err := newEnv(root, record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusFailed
	}
	defer e.close()
	err = cases[name](e)
	e.note("verdict: %v", err)
	switch {
	case err == nil:
		fmt.Println("held")
		return statusHeld
	case errors.Is(err, errBroken):
		fmt.Println("broken:", err)
		return statusBroken
	default:
		fmt.Println("could not run:", err)
		return statusFailed
	}
}
