// Package server provides the HTTP servers of package node: kratos servers whose
// graceful stop resets no connection.
//
// # Usage
//
//	s, err := server.Listen("127.0.0.1:7100", server.Options{Now: time.Now, Handler: mux, ...})
//	if err != nil {
//		return err
//	}
//	go s.Start(ctx)
//	...
//	s.AwaitQuiet(ctx) // once callers have learned of another address
//	err = s.Shutdown(ctx)
//
// A Server is safe for concurrent use.
package server

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"path"
	"strings"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/hibiscuscove/hibiscuscove/internal/connlimit"
	"github.com/hibiscuscove/hibiscuscove/internal/framing"
	"github.com/hibiscuscove/hibiscuscove/internal/openai"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

// receiveBuffer limits what is received of a connection before it is read. It allows
// 200 Mbit/s over a round trip of 10 ms.
const receiveBuffer = 256 << 10

// Options sets up a Server. All fields but MaxHeaderBytes and Leaving are required.
type Options struct {
	Now     func() time.Time
	Handler http.Handler
	// Name names the server in counters and log lines.
	Name string
	// MaxHeaderBytes limits the head of a request. The default is framing.MaxHeadBytes.
	MaxHeaderBytes int
	// Times are the time limits on clients.
	Times connlimit.Times
	// Connections limits the connections, and Report says what clients were cut off for.
	Connections *connlimit.Table
	Report      *connlimit.Reporter
	// Leaving, if it is set, reports whether each connection is closed after the
	// response, so that callers connect to another node.
	Leaving func() bool
}

// Server is a kratos HTTP server with its address open. It has no request timeout:
// requests end by the deadlines of their routes.
type Server struct {
	*khttp.Server
	listener *quietListener
}

// Listen opens an address and returns its Server. Requests wait until Start is
// called.
func Listen(address string, opts Options) (*Server, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("server: listen on %s: %w", address, err)
	}
	handler := opts.Handler
	if opts.Leaving != nil {
		handler = closeIfLeaving(opts.Leaving, handler)
	}
	connlimit.LimitReceiveBuffer(inner, receiveBuffer)
	limited := connlimit.Listener{Listener: inner, Options: connlimit.Options{
		Name: opts.Name, Now: opts.Now, Times: func() connlimit.Times { return opts.Times }, Table: opts.Connections, Report: opts.Report,
	}}
	checked := framing.Listener{
		Listener: limited, Now: opts.Now, Limits: func() framing.Limits { return framing.Limits{Bytes: opts.MaxHeaderBytes} },
		TooLarge: func(c net.Conn, reason string) {
			opts.Report.Report(opts.Now(), opts.Name, reason, connlimit.SourceOf(c.RemoteAddr()))
		},
	}
	listener := &quietListener{Listener: checked, now: opts.Now}
	s := khttp.NewServer(khttp.Listener(listener), khttp.Timeout(0), khttp.StrictSlash(false), khttp.Filter(rejectUnclear, rejectUncleanPath))
	s.HandlePrefix("/", handler)
	s.ConnContext = checked.ConnContext
	s.ConnState = func(c net.Conn, state http.ConnState) {
		listener.trackState(c, state)
		limited.ConnState(c, state)
	}
	s.ReadHeaderTimeout, s.IdleTimeout = connlimit.ServerTimeout, connlimit.ServerTimeout
	s.MaxHeaderBytes = opts.MaxHeaderBytes
	return &Server{Server: s, listener: listener}, nil
}

// AwaitQuiet waits until no connection has been accepted for a while and every
// connection has sent a request, until ctx ends or for at most 10 s. Shutdown then
// resets no connection of a caller.
func (s *Server) AwaitQuiet(ctx context.Context) { s.listener.awaitQuiet(ctx) }

// rejectUnclear rejects requests of which it is not certain where they begin and end, and
// closes their connections.
func rejectUnclear(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if framing.Check(r.Context()) == framing.Clear {
			next.ServeHTTP(w, r)
			return
		}
		e := verdict.New(verdict.NotRun, http.StatusBadRequest, "unclear_framing", "the request can be read in two ways")
		w.Header().Set("Connection", "close")
		openai.WriteError(w, e)
	})
}

// rejectUncleanPath rejects paths for which kratos's router would respond with a
// redirect. A client may follow a redirect with another method.
func rejectUncleanPath(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		clean := path.Clean(r.URL.Path)
		if strings.HasSuffix(r.URL.Path, "/") && clean != "/" {
			clean += "/"
		}
		if clean != r.URL.Path {
			openai.WriteError(w, verdict.New(verdict.NotRun, http.StatusBadRequest, "unclean_path",
				"the path has empty or dotted elements").WithObject("request", "target"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// closeIfLeaving makes a leaving node close each connection after the response, so
// that callers connect to another node.
func closeIfLeaving(leaving func() bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if leaving() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
