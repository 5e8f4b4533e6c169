package objectstore_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/objectstore"
	"github.com/hibiscuscove/hibiscuscove/internal/standin"
)

// notFound wraps an object API so that writes to objects that don't exist get 404
// rather than 412. Both are usual.
func notFound(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("If-Match") != "" {
			look := httptest.NewRecorder()
			next.ServeHTTP(look, httptest.NewRequest(http.MethodGet, r.URL.Path, nil))
			if look.Code == http.StatusNotFound {
				http.Error(w, "no such object", http.StatusNotFound)
				return
			}
		}
		next.ServeHTTP(w, r)
	})
}

// TestContract checks that all stores give the same errors, and name the operation.
func TestContract(t *testing.T) {
	served := func(h http.Handler) objectstore.Store {
		server := httptest.NewServer(h)
		t.Cleanup(server.Close)
		return objectstore.NewHTTPStore(objectstore.HTTPStoreOptions{URL: server.URL})
	}
	stores := map[string]objectstore.Store{
		"memory":                        objectstore.NewMemory(),
		"HTTP":                          served(standin.NewStore()),
		"HTTP, 404 for what is missing": served(notFound(standin.NewStore())),
	}
	type outcome struct {
		Err       error
		Operation string
	}
	for name, s := range stores {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			created, err := s.Put(ctx, "a", []byte("1"), 0)
			if err != nil {
				t.Fatal(err)
			}
			wrong := created.Version + 100
			steps := []struct {
				name string
				do   func() error
				want outcome
			}{
				{"get of what is missing", func() error { _, err := s.Get(ctx, "b"); return err }, outcome{objectstore.ErrNotFound, "get"}},
				{"second creation", func() error { _, err := s.Put(ctx, "a", nil, 0); return err }, outcome{objectstore.ErrConflict, "put"}},
				{"put with another version", func() error { _, err := s.Put(ctx, "a", nil, wrong); return err }, outcome{objectstore.ErrConflict, "put"}},
				{"put of what is missing", func() error { _, err := s.Put(ctx, "b", nil, wrong); return err }, outcome{objectstore.ErrConflict, "put"}},
				{"put that is too large", func() error {
					_, err := s.Put(ctx, "c", make([]byte, objectstore.MaxValueBytes+1), 0)
					return err
				}, outcome{nil, "put"}},
				{"delete with another version", func() error { return s.Delete(ctx, "a", wrong) }, outcome{objectstore.ErrConflict, "delete"}},
				{"delete of what is missing", func() error { return s.Delete(ctx, "b", wrong) }, outcome{objectstore.ErrConflict, "delete"}},
				{"delete", func() error { return s.Delete(ctx, "a", created.Version) }, outcome{}},
				{"second delete", func() error { return s.Delete(ctx, "a", created.Version) }, outcome{objectstore.ErrConflict, "delete"}},
			}
			for _, step := range steps {
				err := step.do()
				got := outcome{}
				for _, known := range []error{objectstore.ErrNotFound, objectstore.ErrConflict, objectstore.ErrUnavailable, objectstore.ErrOutcomeUnknown} {
					if errors.Is(err, known) {
						got.Err = known
					}
				}
				if err != nil {
					got.Operation, _, _ = strings.Cut(strings.TrimPrefix(err.Error(), "objectstore: "), " ")
				}
				if diff := cmp.Diff(step.want, got, cmp.Comparer(func(a, b error) bool { return errors.Is(a, b) })); diff != "" {
					t.Errorf("%s: %v (-want +got):\n%s", step.name, err, diff)
				}
				if errors.Is(step.want.Err, objectstore.ErrConflict) && !objectstore.IsNotWritten(err) {
					t.Errorf("%s: %v may have been written", step.name, err)
				}
			}
		})
	}
}
