package fleet

import (
	"context"
	"time"

	"laburnumpick.org/pkg/fleetapi"
	"laburnumpick.org/pkg/notice"
	"laburnumpick.org/pkg/record"
	"laburnumpick.org/pkg/roster"
	"laburnumpick.org/pkg/site"
)

// ReportNotices implements dispatch.Slot. It tells the home at once what servers have told
// this VM. A report that is lost is repeated with the next request for a slot.
func (s *slot) ReportNotices(n site.ServiceName) {
	go s.node.sendNotices(s.home, n)
}

// sendNotices tells a home, which may be this VM, what it has not been told.
func (n *Node) sendNotices(vm roster.VM, svc site.ServiceName) {
	untold := n.cfg.Notices.Untold(time.Now(), svc, vm.Name)
	if len(untold.Notices) == 0 {
		return
	}
	h := notice.HomeID{VM: vm.Name}
	err := n.report(vm, func(ctx context.Context, c fleetapi.Fleet) error {
		if vm.Name == n.cfg.Self.Name {
			h.Since = n.cfg.Home.ReportNotices(ctx, svc, string(vm.Name), untold.Notices)
			return nil
		}
		reply, err := c.ReportNotices(ctx, &fleetapi.ReportNoticesRequest{
			Service: string(svc), Vm: string(n.cfg.Self.Name), Notices: fleetapi.FromNotices(untold.Notices),
		})
		h.Since = reply.GetSinceUnixUs()
		return err
	})
	if err != nil {
		n.cfg.Scope.Counter("noticesLost").Inc(1)
		record.Log("fleet: what servers say not reported to the home", "vm", vm.Name, "service", svc, "err", err)
		return
	}
	n.cfg.Notices.MarkTold(svc, h, untold)
}

// ReportNotices implements fleetapi.Fleet.
func (s server) ReportNotices(ctx context.Context, req *fleetapi.ReportNoticesRequest) (*fleetapi.ReportNoticesAnswer, error) {
	since := s.node.cfg.Home.ReportNotices(ctx, site.ServiceName(req.GetService()), req.GetVm(), fleetapi.ToNotices(req.GetNotices()))
	return &fleetapi.ReportNoticesAnswer{SinceUnixUs: since}, nil
}
