package locality

// ExcludesAll reports whether the Set allows no region, as the intersection of two lists without a
// common region or a list of empty names does.
func (s Set) ExcludesAll() bool {
	for _, region := range s.regions {
		if region != "" {
			return false
		}
	}
	return s.restricted
}
