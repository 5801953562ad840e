package command

import (
	"context"
	"os"
	"strings"

	"laburnumpick.org/pkg/fleetapi"
)

type whereCmd struct {
	Host       string `required:"" help:"Host of the request."`
	Path       string `required:"" help:"Path of the request."`
	Method     string `default:"GET" help:"Method of the request."`
	Account    string `help:"Client account that sends it."`
	DataCentre string `help:"Data centre where it arrives. Default is that of the VM that is asked."`
	JSON       bool   `name:"json" help:"Print the answer as JSON."`
}

// Run prints where a request would go, and why.
func (c *whereCmd) Run(op fleetapi.Operator) error {
	path, _, _ := strings.Cut(c.Path, "?") // Routes match the path only.
	resp, err := op.Where(context.Background(), &fleetapi.WhereRequest{
		Host: c.Host, Path: path, Method: c.Method, Account: c.Account, DataCentre: c.DataCentre,
	})
	if err != nil {
		return err
	}
	if c.JSON {
		return fleetapi.WriteWhereJSON(os.Stdout, resp)
	}
	return fleetapi.WriteWhere(os.Stdout, resp)
}
