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

func (n *Node) sendNotices(vm roster.VM, svc site.ServiceName) {
	untold := n.cfg.Notices.Untold(time.Now(), svc, vm.Name)
	if len(untold.Notices) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(n.withToken(context.Background()), releaseTimeout)
	defer cancel()
	if vm.Name == n.cfg.Self.Name {
		since := n.cfg.Home.ReportNotices(ctx, svc, string(n.cfg.Self.Name), untold.Notices)
		n.cfg.Notices.MarkTold(svc, notice.HomeID{VM: vm.Name, Since: since}, untold)
		return
	}
	reply, err := n.client(vm.Address).ReportNotices(ctx, &fleetapi.ReportNoticesRequest{
		Service: string(svc), Vm: string(n.cfg.Self.Name), Notices: fleetapi.FromNotices(untold.Notices),
	})
	if err != nil {
		n.cfg.Scope.Counter("noticesLost").Inc(1)
		record.Log("fleet: what servers say not reported to the home", "vm", vm.Name, "service", svc, "err", err)
		return
	}
	n.cfg.Notices.MarkTold(svc, notice.HomeID{VM: vm.Name, Since: reply.GetSinceUnixUs()}, untold)
}

// ReportNotices implements fleetapi.Fleet.
func (s server) ReportNotices(ctx context.Context, req *fleetapi.ReportNoticesRequest) (*fleetapi.ReportNoticesAnswer, error) {
	since := s.node.cfg.Home.ReportNotices(ctx, site.ServiceName(req.GetService()), req.GetVm(), fleetapi.ToNotices(req.GetNotices()))
	return &fleetapi.ReportNoticesAnswer{SinceUnixUs: since}, nil
}
