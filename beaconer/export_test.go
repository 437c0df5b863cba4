package beaconer

// WithoutPacks makes the node behave as one of a release without packed beacons. It must be called
// before Run.
func (b *Beaconer) WithoutPacks() { b.self.Packs = false }
