package pool

// link tells a server that fails from one that a single VM cannot hear: of the
// latter one VM fails again and again, while others are answered between.
type link struct {
	failedVM  string // The VM that last saw the server fail.
	elsewhere bool   // Another VM has got a good answer since.
}

// heard notes a good answer to a VM.
func (l *link) heard(vm string) {
	if vm == l.failedVM {
		*l = link{} // It hears the server, so that its failures are the server's.
		return
	}
	l.elsewhere = true
}

// lost notes a failure that a VM saw, and reports whether the VM's link is to blame
// rather than the server.
func (l *link) lost(vm string) bool {
	again := vm != "" && vm == l.failedVM && l.elsewhere
	*l = link{failedVM: vm}
	return again
}
