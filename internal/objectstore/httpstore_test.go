package objectstore_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/objectstore"
)

// Guards against a node that waits for half a minute for the answer to a watch that was
// lost, while a published configuration has to be in force everywhere within seconds.
func TestLostWatchIsGivenUp(t *testing.T) {
	t.Parallel()
	const limit = 8 * time.Second
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	t.Cleanup(server.Close)
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	_, err := objectstore.NewHTTPStore(objectstore.HTTPStoreOptions{URL: server.URL}).Watch(ctx, "key", 1)
	if err == nil || ctx.Err() != nil {
		t.Errorf("Watch returned %v, want an error within %v", err, limit)
	}
}
