// Package readlimit bounds what is read from a peer: the error for a message that is
// too long, and a Pool that bounds the memory of all bodies that are buffered at a
// time.
//
// # Usage
//
//	pool := readlimit.NewPool(8 << 20)
//	body, err := pool.ReadAll(ctx, response.Body, -1)
//	if err != nil {
//		return err // a *readlimit.Error if the body is too long
//	}
//	defer body.Release()
//	w.Write(body.Bytes())
//
// A Pool is safe for concurrent use. A Body must be used by one goroutine only.
package readlimit

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"

	"golang.org/x/sync/semaphore"
)

// Error is the error for a message, or a part of one, that exceeds its limit.
type Error struct {
	// Kind names what is too long in snake case, for example "body".
	Kind string
	// Limit is the limit in Unit.
	Limit int64
	// Unit is what the limit counts, for example "bytes".
	Unit string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("readlimit: %s exceeds %d %s", e.Kind, e.Limit, e.Unit)
}

// Bytes returns the error for something that exceeds a number of bytes.
func Bytes(kind string, limit int64) error { return &Error{Kind: kind, Limit: limit, Unit: "bytes"} }

// Sizes in bytes of buffers.
const (
	minBuffer = 2 << 10
	// freeBuffer is the size up to which a body does not count against the pool.
	freeBuffer   = 16 << 10
	mediumBuffer = 256 << 10
)

// mediumBodies is the number of bodies of up to mediumBuffer bytes at a time.
const mediumBodies = 16

// Pool reads bodies of up to a limit. Small ones are read at once. Those up to
// mediumBuffer and those above share one budget each, in bytes, so that a few large
// bodies neither exhaust the memory nor hold up the others. A body waits for the
// larger budget while it has part of the smaller one, never the other way round.
type Pool struct {
	classes []*class
}

// class is a size of buffers and the budget for them.
type class struct {
	size int64
	// budget is nil if buffers of this size are not counted.
	budget *semaphore.Weighted
	// buffers holds unused buffers of size bytes and one more.
	buffers sync.Pool
}

// NewPool returns a Pool of bodies of up to a limit in bytes. Together they take up to
// the limit and 4 MiB, and 16 KiB for each one.
func NewPool(limit int64) *Pool {
	return &Pool{classes: []*class{
		{size: min(minBuffer, limit)},
		{size: min(freeBuffer, limit)},
		{size: min(mediumBuffer, limit), budget: semaphore.NewWeighted(mediumBodies * min(mediumBuffer, limit))},
		{size: limit, budget: semaphore.NewWeighted(limit)},
	}}
}

// Body is a body that was read to its end.
type Body struct {
	data []byte
	// weight is what the body holds of the budget of its class.
	class  *class
	weight int64
}

// ReadAll reads r up to io.EOF. length is the expected length in bytes, or -1 if it is
// not known. It returns an *Error if the body is longer than the limit, without
// reading if that is known before. It waits for room, and returns an error that wraps
// that of ctx if it gets none before ctx is done.
func (p *Pool) ReadAll(ctx context.Context, r io.Reader, length int64) (*Body, error) {
	body := &Body{}
	for _, c := range p.classes {
		if length > c.size {
			continue
		}
		if err := body.grow(ctx, c, length); err != nil {
			body.Release()
			return nil, err
		}
		complete, err := body.fill(r)
		if err != nil {
			body.Release()
			return nil, err
		}
		if complete {
			return body, nil
		}
		if length >= 0 {
			break
		}
	}
	body.Release()
	return nil, Bytes("body", p.classes[len(p.classes)-1].size)
}

// grow moves the body to a buffer of a class. The buffer is one byte larger than the
// body may be, to notice a body that is longer.
func (b *Body) grow(ctx context.Context, c *class, length int64) error {
	next := Body{class: c, weight: c.size}
	if length >= 0 {
		next.weight = length
	}
	if c.budget != nil {
		if err := c.budget.Acquire(ctx, next.weight); err != nil {
			return fmt.Errorf("readlimit: no room for a body of over %d bytes: %w", len(b.data), err)
		}
	}
	var buffer []byte
	if length < 0 {
		if unused, found := c.buffers.Get().(*[]byte); found {
			buffer = (*unused)[:0]
		}
	}
	if buffer == nil {
		buffer = make([]byte, 0, next.weight+1)
	}
	next.data = append(buffer, b.data...)
	b.Release()
	*b = next
	return nil
}

// fill reads until the end of r, or until the buffer is full.
func (b *Body) fill(r io.Reader) (complete bool, err error) {
	for len(b.data) < cap(b.data) {
		n, err := r.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if errors.Is(err, io.EOF) {
			return len(b.data) < cap(b.data), nil
		}
		if err != nil {
			return false, err
		}
	}
	return false, nil
}

// Bytes returns the bytes, which are valid until Release is called.
func (b *Body) Bytes() []byte { return b.data }

// Release gives the memory back. Calling it again has no effect.
func (b *Body) Release() {
	if b.class == nil {
		return
	}
	if data := b.data; int64(cap(data)) > b.class.size {
		b.class.buffers.Put(&data)
	}
	if b.class.budget != nil {
		b.class.budget.Release(b.weight)
	}
	b.class, b.data = nil, nil
}
