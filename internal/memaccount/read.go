package memaccount

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/readlimit"
	"github.com/hibiscuscove/hibiscuscove/internal/wait"
)

const (
	// firstBuffer is the size of the first buffer of a body without a known length, and
	// largestFirst limits that of others.
	firstBuffer  = 4 << 10
	largestFirst = 16 << 10
	// growth is by how much a buffer grows at least. A body takes at most growth times
	// what has arrived, and as much as has arrived once more while it is copied.
	growth = 2
	// maxRoomWait is how long a body waits for room, firstRoomWait how long before anything
	// of it is read, and roomInterval how often it asks.
	maxRoomWait   = time.Second
	firstRoomWait = 200 * time.Millisecond
	roomInterval  = 20 * time.Millisecond
)

// ReadAll reads a body up to io.EOF and holds what has arrived. length is its declared
// length, or -1. It returns a *readlimit.Error if the body is longer than a limit (0: none),
// ErrFull if it gets no room within a second, and ErrEvicted if it had to give way.
func (h *Holding) ReadAll(ctx context.Context, now func() time.Time, r io.Reader, length, limit int64) ([]byte, error) {
	if limit > 0 && length > limit {
		return nil, readlimit.Bytes("body", limit)
	}
	size := int64(firstBuffer)
	if length >= 0 {
		size = min(length, largestFirst)
	}
	var data []byte
	for {
		longest := maxRoomWait
		if data == nil {
			longest = firstRoomWait
		}
		if err := h.awaitRoom(ctx, now, size, longest); err != nil {
			return nil, err
		}
		next := make([]byte, len(data), size)
		copy(next, data)
		h.Shrink(int64(cap(data)))
		data = next
		complete, err := h.fill(now, r, &data, length)
		if err != nil {
			return nil, err
		}
		if limit > 0 && int64(len(data)) > limit {
			return nil, readlimit.Bytes("body", limit)
		}
		if complete {
			return data, h.Complete()
		}
		size = int64(growth * cap(data))
		if length >= 0 {
			size = min(size, length)
		} else if limit > 0 {
			size = min(size, limit+1) // one more, to notice that it is longer
		}
	}
}

// fill reads until the end of r, the declared length, or the end of the buffer.
func (h *Holding) fill(now func() time.Time, r io.Reader, data *[]byte, length int64) (complete bool, err error) {
	b := *data
	defer func() { *data = b }()
	for len(b) < cap(b) {
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if n > 0 {
			h.Received(now(), int64(n))
		}
		if errors.Is(err, io.EOF) {
			return true, nil
		}
		if err != nil {
			if h.Evicted() {
				return false, ErrEvicted
			}
			return false, err
		}
	}
	if int64(len(b)) != length {
		return false, nil
	}
	// The reader has to reach its end for the connection to be used again.
	var rest [1]byte
	for {
		n, err := r.Read(rest[:])
		switch {
		case n > 0:
			return false, io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return true, nil
		case err != nil:
			return false, err
		}
	}
}

// awaitRoom grows the holding by n bytes once there is room.
func (h *Holding) awaitRoom(ctx context.Context, now func() time.Time, n int64, longest time.Duration) error {
	start := now()
	for {
		at := now()
		err := h.Grow(at, n)
		if !errors.Is(err, ErrFull) || at.Sub(start) >= longest {
			return err
		}
		if !wait.For(ctx, roomInterval) {
			return ErrFull
		}
	}
}
