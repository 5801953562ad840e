package pool

// link distinguishes a server that fails from a broken link between one VM and the
// server. With a broken link the same VM sees failures again and again, while other
// VMs get good responses in between.
type link struct {
	failedVM          string // The VM that last reported a failure.
	answeredElsewhere bool   // Another VM has got a good response since.
}

// linkAnswered records a good response to a VM.
func (l *link) linkAnswered(vm string) {
	if vm == l.failedVM {
		*l = link{} // The VM can reach the server, so the failures are the server's.
		return
	}
	l.answeredElsewhere = true
}

// linkFailed records a failure reported by a VM. It reports whether the VM's link is
// the likely cause rather than the server.
func (l *link) linkFailed(vm string) bool {
	again := vm != "" && vm == l.failedVM && l.answeredElsewhere
	*l = link{failedVM: vm}
	return again
}
