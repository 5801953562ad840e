// Command review2 plays the scripts of the second review. It stands in for clients, upstreams and
// the platform's store, and starts the project's program as separate processes.
package main

import (
	"fmt"
	"os"
	"time"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: review2 CASE FOLDER")
		os.Exit(2)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Println("no such case:", os.Args[1])
		os.Exit(2)
	}
	play(os.Args[2])
}

// signing is the resolution signing service under its usual load, with a request that crashes
// upstreams among the others.
var signing = poison{
	path: "/pack/poison", machines: 1, services: []group{{"sealbook", 12}}, slots: 3, work: 240 * time.Millisecond,
	kind: "non_idempotent", budget: 4 * time.Second, attempts: 2,
	gap: 3 * time.Second, length: 45 * time.Second, others: 21 * time.Millisecond,
}

// reading is the agenda paper pack service in the same way. Votes go there too.
var reading = poison{
	path: "/pack/poison", machines: 1, services: []group{{"packshelf", 8}}, slots: 3, work: 320 * time.Millisecond,
	kind: "idempotent", budget: 3 * time.Second, attempts: 2,
	gap: 3 * time.Second, length: 45 * time.Second, others: 50 * time.Millisecond, votes: 160 * time.Millisecond,
}

// cases holds the scripts by their names.
var cases = map[string]func(dir string){
	"alike": alike,
	"poison-mid-answer": func(dir string) {
		p := reading
		p.crash = midAnswer
		playPoison(dir, p)
	},
	"poison-caller": func(dir string) {
		p := signing
		p.oneCaller = true
		playPoison(dir, p)
	},
	"poison-latin-1": func(dir string) {
		p := reading
		p.path, p.machines = "/pack/r%E9solution", 2
		playPoison(dir, p)
	},
	"poison-split": func(dir string) {
		p := signing
		p.services = []group{{"ballotline", 8}, {"packshelf", 8}, {"sealbook", 12}, {"minutevault", 12}}
		p.budget, p.gap, p.length, p.others = 2500*time.Millisecond, 3500*time.Millisecond, 88*time.Second, 160*time.Millisecond
		playPoison(dir, p)
	},
}
