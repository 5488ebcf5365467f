package membership

// Stopped reports whether this Instance may not serve: StopServing was returned
// and nothing has ended that stop.
func (m *Membership) Stopped() bool { return m.stopped }
