// Package seeds gives property tests a fixed random seed, so that each run draws
// the same cases.
package seeds

import "flag"

// fixed is the default seed of property tests. A -rapid.seed flag on the command
// line overrides it, since TestMain runs before flags are parsed.
const fixed = "20261203"

// UseFixed sets the seed and disables rapid's fail files. It must be called from
// TestMain, before m.Run parses the command line.
func UseFixed() {
	set("rapid.seed", fixed)
	set("rapid.nofailfile", "true")
}

// set sets a flag if the test binary defines it.
func set(name, value string) {
	if flag.Lookup(name) == nil {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
