package objectstore_test

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/objectstore"
	"github.com/hibiscuscove/hibiscuscove/internal/standin"
)

// Guards against a node that is without its store for seconds after the connections have
// fallen silent, since it tries each kept one in turn.
func TestSilentConnectionsCostOneCall(t *testing.T) {
	t.Parallel()
	const kept = 4
	var together sync.WaitGroup
	together.Add(kept)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/objects/first" {
			together.Done()
			together.Wait()
		}
		http.NotFound(w, r)
	}))
	t.Cleanup(server.Close)
	link, err := standin.NewLink("127.0.0.1:0", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	store := objectstore.NewHTTPStore(objectstore.HTTPStoreOptions{URL: "http://" + link.Address(), CallTimeout: time.Second})
	get := func(key string) error {
		_, err := store.Get(t.Context(), key)
		if errors.Is(err, objectstore.ErrNotFound) {
			return nil
		}
		return err
	}
	var calls sync.WaitGroup
	for range kept {
		calls.Go(func() {
			if err := get("first"); err != nil {
				t.Error(err)
			}
		})
	}
	calls.Wait()
	if err := link.Silence(); err != nil {
		t.Fatal(err)
	}
	failed := ""
	for call := range 2 * kept {
		if err := get("later"); err != nil {
			failed += fmt.Sprint(" ", call)
		}
	}
	if failed != " 0" {
		t.Errorf("failed calls:%s, want only the first one", failed)
	}
}
