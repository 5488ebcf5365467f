package membership

// Stopped reports whether this Instance must not serve: StopServing was returned
// and this Instance has not resumed since.
func (m *Membership) Stopped() bool { return m.stopped }
