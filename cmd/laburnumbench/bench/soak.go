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
	Bin     string        `default:"bin/laburnumpickd" type:"existingfile" help:"The program."`
	Seed    []uint64      `default:"1" help:"One seed gives one schedule; several are run one after the other."`
	Length  time.Duration `default:"15s" help:"How long things fail."`
	VMs     int           `name:"vms" default:"5" help:"Entry VMs, each a process."`
	Callers int           `default:"8"`
	Timing  bool          `default:"true" negatable:"" help:"Check what depends on the machine's speed too."`
	Keep    bool          `help:"Keep the settings and logs of runs without a broken promise too."`
}

// Run runs a soak for each seed.
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
		return errors.New("promises were broken")
	}
	return nil
}
