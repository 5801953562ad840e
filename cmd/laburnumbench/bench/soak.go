package bench

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"laburnumpick.org/cmd/laburnumbench/soak"
)

type soakCmd struct {
	Bin     string        `default:"bin/laburnumpickd" type:"existingfile" help:"Path of laburnumpickd."`
	Seed    []uint64      `default:"1" help:"Seeds of the schedules, which are run one after the other."`
	Length  time.Duration `default:"15s" help:"Length of the fault schedule."`
	VMs     int           `name:"vms" default:"5" help:"Number of entry VMs, each a process."`
	Callers int           `default:"8"`
	Timing  bool          `default:"true" negatable:"" help:"Also check promises that a slow machine can break."`
	Keep    bool          `help:"Keep the settings and logs also if no promise was broken."`
}

// Run runs a soak for each seed and fails if a promise was broken. The settings and
// logs of a run with broken promises are kept.
func (c *soakCmd) Run() error {
	failed := 0
	for _, seed := range c.Seed {
		dir, err := soak.MkdirTemp(seed)
		if err != nil {
			return err
		}
		broken, err := soak.Run(context.Background(), soak.Config{
			Bin: c.Bin, Dir: dir, Seed: seed, Length: c.Length, VMs: c.VMs, Callers: c.Callers,
			CheckTiming: c.Timing, Out: os.Stdout,
		})
		if err != nil {
			return err
		}
		for _, b := range broken {
			fmt.Printf("seed %d: BROKEN %s\n", seed, b)
		}
		if len(broken) > 0 {
			failed++
			fmt.Printf("seed %d: logs in %s\n", seed, dir)
			continue
		}
		if !c.Keep {
			if err := os.RemoveAll(dir); err != nil {
				return err
			}
		}
	}
	if failed > 0 {
		return errors.New("soak found broken promises")
	}
	return nil
}
