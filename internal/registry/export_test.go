package registry

import "context"

// Step makes one call to the store as Run does: a list, or else a watch. It reports
// whether the next call must be a list.
func (f *Follower[T]) Step(ctx context.Context, list bool) (listNext bool, err error) {
	err = f.listOrWatch(ctx, list)
	return err != nil && f.mustList(err), err
}

// Items returns the revisions of the items by name.
func (f *Follower[T]) Items() map[string]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	items := make(map[string]uint64)
	for name, item := range f.items {
		items[name] = item.Revision
	}
	return items
}
