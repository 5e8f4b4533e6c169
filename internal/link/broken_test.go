package link_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscuscove/hibiscuscove/internal/link"
	"github.com/hibiscuscove/hibiscuscove/internal/peerrpc"
	"github.com/hibiscuscove/hibiscuscove/internal/standin/rawserver"
)

// Guards against a part of a reply that counts as the whole one. Messages between nodes do not
// tell their own end: one that is cut after a field is a message too.
func TestBrokenReplies(t *testing.T) {
	part, err := proto.Marshal(&peerrpc.CommitResponse{Results: []*peerrpc.CommitResult{{}}})
	if err != nil {
		t.Fatal(err)
	}
	const head, protobuf = "HTTP/1.1 200 OK\r\n", "Content-Type: application/protobuf\r\n"
	body := "\r\n" + string(part)
	sized := fmt.Sprintf("Content-Length: %d\r\n", len(part)) + body
	tests := map[string]struct {
		raw   string
		end   func(c *net.TCPConn)
		whole bool
	}{
		"no length, reset":       {head + protobuf + body, rawserver.Reset, false},
		"no length, unread":      {head + protobuf + body, rawserver.Close, false},
		"empty, reset":           {head + protobuf + "\r\n", rawserver.Reset, false},
		"length, cut":            {head + protobuf + fmt.Sprintf("Content-Length: %d\r\n", len(part)+2) + body, rawserver.HalfClose, false},
		"chunks, cut":            {head + protobuf + "Transfer-Encoding: chunked\r\n\r\n2\r\n" + string(part) + "\r\n", rawserver.HalfClose, false},
		"head, cut":              {head + protobuf, rawserver.HalfClose, false},
		"000":                    {"HTTP/1.1 000 No\r\n" + protobuf + sized, rawserver.HalfClose, false},
		"600":                    {"HTTP/1.1 600 No\r\n" + protobuf + sized, rawserver.HalfClose, false},
		"length, blank":          {head + protobuf + "Content-Length : 99\r\n" + body, rawserver.HalfClose, false},
		"blank before the colon": {head + "X : y\r\n" + protobuf + sized, rawserver.HalfClose, false},
		"control byte in a name": {head + "X\x01: y\r\n" + protobuf + sized, rawserver.HalfClose, false},
		"whole":                  {head + protobuf + sized, rawserver.HalfClose, true},
		"whole, reset":           {head + protobuf + sized, rawserver.Reset, true},
	}
	request := strings.Repeat("x", 8<<20)
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			to := &peerrpc.Member{ControlAddress: rawserver.Start(t, rawserver.Options{Raw: test.raw, Early: true, Pause: 30 * time.Millisecond, End: test.end})}
			// Which of the two directions gets the error of a reset is a matter of luck.
			for range 4 {
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				_, err := link.NewClient(link.ClientOptions{}).Commit(ctx, to, 1, []*peerrpc.Entry{{Key: request}})
				if whole := err == nil; whole != test.whole || ctx.Err() != nil {
					t.Fatalf("reply is whole: %v, want %v (%v)", whole, test.whole, err)
				}
			}
		})
	}
}
