package entryvm

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hibiscuscove/hibiscuscove/internal/beacon"
	"github.com/hibiscuscove/hibiscuscove/internal/exchange"
	"github.com/hibiscuscove/hibiscuscove/internal/pageserver"
	"github.com/hibiscuscove/hibiscuscove/internal/registry"
)

const (
	// peerTimeout is how long another VM may send nothing.
	peerTimeout = 700 * time.Millisecond
	// maxDownloadTime limits a download that goes on, at a small part of the smallest link.
	maxDownloadTime = 5 * time.Second
	// slowDownload is how long a download may take before another one, from another VM,
	// may start beside it.
	slowDownload = 700 * time.Millisecond
	// maxDownloads limits the downloads of a collection at a time.
	maxDownloads = 2
	// maxPeerHeadBytes limits the head of a peer's response.
	maxPeerHeadBytes = 16 << 10
	maxSnapshotBytes = 16 << 20
	// ownWatchGrace is how long fetchFromPeer waits for this VM's own watch to deliver
	// a newer state before it asks the peer.
	ownWatchGrace = 150 * time.Millisecond
)

// newPeerClient returns the client that fetches states from other VMs. Fetches are rare,
// and each has a connection of its own: kept ones may have fallen silent, all at once.
func newPeerClient() *http.Client {
	return &http.Client{Transport: exchange.Transport{RoundTripper: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxPeerHeadBytes}}}
}

func newPageClient(c *http.Client) *pageserver.Client {
	return pageserver.NewClient(pageserver.ClientOptions{HTTP: c, MaxSilence: peerTimeout, MaxTime: maxDownloadTime, MaxBytes: maxSnapshotBytes})
}

// downloads holds which collections are being downloaded. It is safe for concurrent use.
type downloads struct {
	mu      sync.Mutex
	running map[string][]*download
}

// download is one download of a collection from a peer.
type download struct {
	peer      string
	startedAt time.Time
	cancel    context.CancelFunc
}

func newDownloads() *downloads { return &downloads{running: make(map[string][]*download)} }

// Start returns a context for a download, and false if it must not start: another one of
// the collection is under way, unless that has taken long and is from another peer. The
// download must call end, with whether the state has arrived, which ends the others.
func (d *downloads) Start(now time.Time, collection, peer string) (ctx context.Context, end func(arrived bool), ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	running := d.running[collection]
	if len(running) >= maxDownloads {
		return nil, nil, false
	}
	for _, r := range running {
		if r.peer == peer || now.Sub(r.startedAt) < slowDownload {
			return nil, nil, false
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	own := &download{peer, now, cancel}
	d.running[collection] = append(running, own)
	return ctx, func(arrived bool) {
		cancel()
		d.mu.Lock()
		defer d.mu.Unlock()
		var others []*download
		for _, r := range d.running[collection] {
			if r == own {
				continue
			}
			if arrived {
				r.cancel()
			}
			others = append(others, r)
		}
		d.running[collection] = others
	}, true
}

// startFetch runs a download of a collection from a peer in a goroutine, if it may start.
// fetch reports whether the state has arrived.
func (v *VM) startFetch(collection, peer string, fetch func(ctx context.Context) bool) {
	ctx, end, ok := v.downloads.Start(v.opts.Now(), collection, peer)
	if !ok {
		return
	}
	go func() { end(fetch(ctx)) }()
}

// fetchFromPeer starts a download of a collection from a peer that has a newer
// position. It does nothing if this VM's own watch delivers that position first,
// or if a download of the collection is running and goes well.
func fetchFromPeer[T any](v *VM, collection string, m beacon.Message, theirs registry.Position, f *registry.Follower[T], l *lag) {
	own := f.Position()
	l.Observe(v.opts.Now(), own, theirs)
	if !own.Before(theirs) {
		return
	}
	v.startFetch(collection, m.Name, func(ctx context.Context) bool {
		time.Sleep(ownWatchGrace)
		since := f.Position()
		if !since.Before(theirs) {
			return true
		}
		var page registry.Page[T]
		started := v.opts.Now()
		n, err := v.fetchPage(ctx, m.Control, collection, since, &page)
		if errors.Is(err, pageserver.ErrBusy) {
			metrics.GetOrRegisterCounter("peer_fetches.busy", v.metrics).Inc(1)
			return false
		}
		applied := err == nil && f.Offer(v.opts.Now(), page)
		if err != nil {
			metrics.GetOrRegisterCounter("peer_fetches.failed", v.metrics).Inc(1)
		}
		v.log.Info().Str("collection", collection).Str("peer", m.Name).Uint64("theirs", theirs.Revision).
			Uint64("own", own.Revision).Uint64("era", theirs.Era).Bool("taken", applied).Int64("bytes", n).
			Int64("took_ms", v.opts.Now().Sub(started).Milliseconds()).AnErr("error", err).Msg("state fetched from a peer")
		return err == nil
	})
}

// fetchPage downloads a collection's changes after a position from the control address of
// a peer, and returns the bytes of JSON read.
func (v *VM) fetchPage(ctx context.Context, control, collection string, since registry.Position, page any) (int64, error) {
	query := url.Values{"since": {strconv.FormatUint(since.Revision, 10)}, "era": {strconv.FormatUint(since.Era, 10)}}
	return v.pageClient.Get(ctx, "http://"+control+"/v1/collections/"+collection+"?"+query.Encode(), page)
}
