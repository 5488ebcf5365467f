package hostplatform

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a model that keeps something of the lost changes: objects, history or revisions.
func TestRestoredStoreHasNoneOfTheLostChanges(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := NewStore()
	put := func(name, spec string) {
		object := Object{Kind: "k", Name: name, Spec: []byte(spec)}
		if _, err := s.Create(ctx, object); err != nil {
			_, err = s.Replace(ctx, object, 0)
			is.NoErr(err)
		}
	}
	put("kept", "1")
	put("changed", "1")
	put("deleted", "1")
	copied := s.Position()
	put("changed", "2")
	put("added", "1")
	_, err := s.Delete(ctx, "k", "deleted", 0)
	is.NoErr(err)
	lost := s.Position()
	is.Equal(lost.Revision, copied.Revision+3)

	s.Restore(3)
	page, _, at, err := s.List(ctx, "k", "", false)
	is.NoErr(err)
	is.Equal(at, Position{Era: copied.Era + 1, Revision: copied.Revision})
	var got []string
	for _, o := range page {
		got = append(got, fmt.Sprintf("%s=%s@%d", o.Name, o.Spec, o.Revision))
	}
	is.Equal(got, []string{"changed=1@3", "deleted=1@4", "kept=1@2"})
	_, _, err = s.Watch(ctx, "k", lost.Revision, time.Millisecond)
	is.Equal(err, ErrHistoryDropped) // it does not have this revision

	put("changed", "3")
	put("changed", "4")
	put("changed", "5")
	changes, at, err := s.Watch(ctx, "k", lost.Revision, time.Millisecond)
	is.NoErr(err) // it has it again, and the changes up to it are not delivered
	is.Equal(len(changes), 0)
	is.Equal(at, Position{Era: copied.Era + 1, Revision: lost.Revision})
}
