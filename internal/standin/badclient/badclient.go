// Package badclient is a stand-in for clients that do not behave: they hold memory,
// connections and time of a server with requests that are legal at first sight, or nearly.
//
// # Usage
//
//	for _, g := range badclient.Groups(badclient.Target{Path: "/x", Fields: "Host: h\r\n", MaxBody: 4 << 20}) {
//		g.Run(ctx, "127.0.0.1:8080", 100) // until ctx is done
//	}
//
// Groups are safe for concurrent use.
package badclient

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/wait"
)

const (
	// dialTimeout limits the opening of a connection, redialDelay follows its end.
	dialTimeout = time.Second
	redialDelay = 50 * time.Millisecond

	kibibyte = 1 << 10
	forever  = 1 << 30
	// blocksAtOnce is the number of blocks that are written at a time of what has no end.
	blocksAtOnce = 8
	// shortBy is by how much a body stops short of its end.
	shortBy = 10
	// manyFields is the number of fields of a head of 16 KiB with many of them.
	manyFields = 3_000
	// A body in pieces of a block has piecesPause after every piecesAtOnce: 4 MiB take
	// two thirds of a second.
	piecesAtOnce = 32
	piecesPause  = 5 * time.Millisecond
	// A whole body is sent in wholeParts with wholePause after each.
	wholeParts = 32
	wholePause = 10 * time.Millisecond
	// blockPause is the pause between the blocks of what has no end, so that the senders
	// themselves take little processor time.
	blockPause = 2 * time.Millisecond
	// manyRequests is the number of requests that are sent at a time without reading.
	manyRequests = 100
)

// Target is what clients send their requests to.
type Target struct {
	Path string
	// Fields are the fields of a proper request, each with its line end.
	Fields string
	// MaxBody is the limit on bodies.
	MaxBody int
}

// Group is a way in which clients misuse connections.
type Group struct {
	Name string
	// send misuses a fresh connection until it fails or ctx is done.
	send func(ctx context.Context, c net.Conn)
}

// Run misuses an address with a number of connections until ctx is done. Each one is
// replaced once it ends.
func (g Group) Run(ctx context.Context, address string, conns int) {
	var wg sync.WaitGroup
	for range conns {
		wg.Go(func() {
			for ctx.Err() == nil {
				g.runOne(ctx, address)
				wait.For(ctx, redialDelay)
			}
		})
	}
	wg.Wait()
}

func (g Group) runOne(ctx context.Context, address string) {
	c, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	g.send(ctx, c)
}

// write writes a piece n times, with a pause after every few. It reports whether all of it
// was written before ctx was done.
func write(ctx context.Context, c net.Conn, n int, piece string, few int, pause time.Duration) bool {
	for i := range n {
		if _, err := io.WriteString(c, piece); err != nil {
			return false
		}
		if (i+1)%few == 0 && !wait.For(ctx, pause) {
			return false
		}
	}
	return ctx.Err() == nil
}

// then returns a send function that writes a start and then a piece n times, with a pause
// after each. If all of it is written, the connection stays open and unread.
func then(start string, n int, piece string, pause time.Duration) func(context.Context, net.Conn) {
	return thenFew(start, n, piece, 1, pause)
}

// thenFew is then with a pause after every few pieces.
func thenFew(start string, n int, piece string, few int, pause time.Duration) func(context.Context, net.Conn) {
	return func(ctx context.Context, c net.Conn) {
		if write(ctx, c, 1, start, 1, 0) && write(ctx, c, n, piece, few, pause) {
			<-ctx.Done()
		}
	}
}

// Groups returns the groups for a target.
func Groups(t Target) []Group {
	head := "POST " + t.Path + " HTTP/1.1\r\n" + t.Fields
	declared := head + fmt.Sprintf("Content-Length: %d\r\n\r\n", t.MaxBody)
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	block := strings.Repeat("y", kibibyte)
	large := strings.Repeat(block, blocksAtOnce)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", kibibyte, block)
	var fields strings.Builder
	for i := range manyFields {
		fmt.Fprintf(&fields, "%s:\r\n", strconv.FormatInt(int64(i), 36))
	}
	blocks := t.MaxBody/kibibyte - 1
	return []Group{
		{"stopped at once", then(declared, 1, strings.Repeat("y", t.MaxBody-shortBy), 0)},
		{"stopped in pieces", thenFew(declared, blocks, block, piecesAtOnce, piecesPause)},
		{"stopped in chunks", thenFew(chunked, blocks, chunk, piecesAtOnce, piecesPause)},
		{"whole bodies", func(ctx context.Context, c net.Conn) {
			write(ctx, c, 1, declared, 1, 0)
			write(ctx, c, wholeParts, strings.Repeat("y", t.MaxBody/wholeParts), 1, wholePause)
			_, _ = io.Copy(io.Discard, c) // ends with the connection
		}},
		{"too long, declared", then(head+"Content-Length: 1000000000000\r\n\r\n", forever, large, blockPause)},
		{"too long, chunks", then(chunked, forever, strings.Repeat(chunk, blocksAtOnce), blockPause)},
		{"chunk extensions", then(chunked+"4;", forever, large, blockPause)},
		{"trailers", then(chunked+"0\r\n", forever, fields.String(), blockPause)},
		{"many fields", then(head+fields.String(), 0, "", 0)},
		{"endless head", then("POST "+t.Path, forever, large, blockPause)},
		{"pipelined", then("", forever, strings.Repeat("GET "+t.Path+" HTTP/1.1\r\n"+t.Fields+"\r\n", manyRequests), blockPause)},
		{"slow heads", then("POST "+t.Path+" HTTP/1.1\r\n", forever, "x: y\r\n", 500*time.Millisecond)},
		{"slow bodies", then(declared, forever, "y", 200*time.Millisecond)},
		{"slow readers", func(ctx context.Context, c net.Conn) {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetReadBuffer(kibibyte) // else the system takes the whole response
			}
			write(ctx, c, 1, "GET "+t.Path+" HTTP/1.1\r\n"+t.Fields+"\r\n", 1, 0)
			var b [1]byte
			for wait.For(ctx, 200*time.Millisecond) {
				if _, err := c.Read(b[:]); err != nil {
					return
				}
			}
		}},
		{"silent", then("", 0, "", 0)},
	}
}

// SendDatagrams sends datagrams without meaning until ctx is done.
func SendDatagrams(ctx context.Context, address string) {
	const largest, pause = 60_000, time.Millisecond
	c, err := (&net.Dialer{}).DialContext(ctx, "udp", address)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	rng := rand.New(rand.NewPCG(1, 1))
	raw := make([]byte, largest)
	for wait.For(ctx, pause) {
		for i := range raw {
			raw[i] = byte(rng.Uint32())
		}
		for _, n := range []int{0, 1, 50, 1400, largest} {
			_, _ = c.Write(raw[:n]) // refused while nobody listens
		}
	}
}
