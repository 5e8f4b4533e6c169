// Package pageserver sends the states of collections to other VMs. Many of them ask for
// the same state at once when it has changed. A state is encoded and compressed once,
// and what is sent is paced, so that it leaves room on the VM's link.
//
// # Usage
//
//	server := pageserver.New(pageserver.Options{Now: time.Now, BytesPerS: 600_000, Metrics: registry})
//	pages := server.Pages("configurations")
//	func(w http.ResponseWriter, r *http.Request) {
//		pages.Serve(w, r, func() (pageserver.Key, any) { return key, page })
//	}
//
// At the VM that asks:
//
//	client := pageserver.NewClient(pageserver.ClientOptions{HTTP: http, MaxSilence: time.Second, ...})
//	n, err := client.Get(ctx, url, &page)
//
// A Server and its Pages are safe for concurrent use.
package pageserver

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hibiscuscove/hibiscuscove/internal/wait"
)

const (
	// maxWait limits how long a request waits for its turn. Those that would wait longer
	// are refused, since another VM may have the state by then.
	maxWait = 200 * time.Millisecond
	// keptPages is the number of encoded pages that are kept for each collection: peers
	// lack different changes.
	keptPages = 3
)

// Options configures a Server. All are required.
type Options struct {
	Now func() time.Time
	// BytesPerS is the rate at which pages of all collections are sent.
	BytesPerS float64
	// Metrics gets the counters "peer_pages.sent", ".bytes", ".encoded" and ".refused".
	Metrics metrics.Registry
}

// Server sends pages at a limited rate.
type Server struct {
	opts  Options
	pacer *Pacer
}

// New returns a Server.
func New(opts Options) *Server { return &Server{opts: opts, pacer: NewPacer(opts.BytesPerS)} }

// Pages returns the pages of one collection. The name stands in errors.
func (s *Server) Pages(name string) *Pages { return &Pages{server: s, name: name} }

// Key identifies a page of a collection: equal keys mean equal pages.
type Key struct{ Era, Revision, Since uint64 }

// Pages sends the pages of one collection.
type Pages struct {
	server *Server
	name   string

	mu sync.Mutex
	// kept holds the pages encoded last, the newest at the end.
	kept []encodedPage
}

// encodedPage is a page as compressed JSON.
type encodedPage struct {
	key  Key
	body []byte
}

// Serve answers a request with the page that current returns, as JSON. If earlier
// pages occupy the link for too long, it answers 503 and does not call current.
func (p *Pages) Serve(w http.ResponseWriter, r *http.Request, current func() (Key, any)) {
	body, delay, err := p.reserve(current)
	switch {
	case errors.Is(err, ErrBusy):
		p.count("refused", 1)
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if !wait.For(r.Context(), delay) {
		return
	}
	p.count("sent", 1)
	p.count("bytes", len(body))
	w.Header().Set("Content-Type", "application/json")
	if strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		w.Header().Set("Content-Encoding", "gzip")
		_, _ = w.Write(body) // fails if the client has disconnected
		return
	}
	if plain, err := gzip.NewReader(bytes.NewReader(body)); err == nil {
		_, _ = io.Copy(w, plain)
	}
}

// reserve returns the page that current returns as compressed JSON, and the delay after
// which it may be sent. The error is ErrBusy if that is too long. Requests wait for the one
// whose page is being encoded, so that of many at once only those read the state that
// may get it.
func (p *Pages) reserve(current func() (Key, any)) (body []byte, delay time.Duration, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pacer, now := p.server.pacer, p.server.opts.Now
	if !pacer.Free(now(), maxWait) {
		return nil, 0, ErrBusy
	}
	if body, err = p.encode(current()); err != nil {
		return nil, 0, err
	}
	delay, ok := pacer.Reserve(now(), len(body), maxWait)
	if !ok {
		return nil, 0, ErrBusy // pages of another collection have taken its place
	}
	return body, delay, nil
}

// encode returns a page as compressed JSON. The caller holds the lock.
func (p *Pages) encode(key Key, page any) ([]byte, error) {
	if i := slices.IndexFunc(p.kept, func(e encodedPage) bool { return e.key == key }); i >= 0 {
		return p.kept[i].body, nil
	}
	var buffer bytes.Buffer
	compressor, err := gzip.NewWriterLevel(&buffer, gzip.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("pageserver: %s: %w", p.name, err)
	}
	if err := json.NewEncoder(compressor).Encode(page); err != nil {
		return nil, fmt.Errorf("pageserver: %s: %w", p.name, err)
	}
	if err := compressor.Close(); err != nil {
		return nil, fmt.Errorf("pageserver: %s: %w", p.name, err)
	}
	p.count("encoded", 1)
	p.kept = append(p.kept, encodedPage{key, buffer.Bytes()})
	p.kept = slices.Delete(p.kept, 0, max(0, len(p.kept)-keptPages))
	return buffer.Bytes(), nil
}

func (p *Pages) count(what string, n int) {
	metrics.GetOrRegisterCounter("peer_pages."+what, p.server.opts.Metrics).Inc(int64(n))
}
