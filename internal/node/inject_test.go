package node_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/engineapi"
	"github.com/hibiscuscove/hibiscuscove/internal/objectstore"
	"github.com/hibiscuscove/hibiscuscove/internal/upstream"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

// The steps in the processing of a request at which faults are injected.
const (
	stepAdmit      = "admit"
	stepClaim      = "claim"
	stepPick       = "pick"
	stepConnect    = "connect"
	stepSend       = "send"
	stepFirstToken = "first token"
	stepMidStream  = "mid-stream"
	stepEnd        = "end"
	stepRecord     = "record outcome"
	stepRespond    = "respond"
)

// matrixTokens is the number of tokens in a completion of the fault matrix.
const matrixTokens = 8

// stepContext describes a request that has reached a step.
type stepContext struct {
	f       *fleet
	address string
	// cut breaks the request's connection; silence makes it deliver nothing more.
	cut, silence func()
}

// injector runs an action once per kind of request, when the request reaches a step.
type injector struct {
	step   string
	action func(sc stepContext)

	mu    sync.Mutex
	f     *fleet
	armed bool
	// done holds the kinds of requests for which the action has run.
	done map[string]bool
	// headWrites counts the writes of ledger heads.
	headWrites atomic.Int32
	// blocked holds whether an address is unreachable.
	blocked map[string]bool
}

func newInjector(step string, action func(stepContext)) *injector {
	return &injector{step: step, action: action, done: make(map[string]bool), blocked: make(map[string]bool)}
}

func (in *injector) arm(f *fleet) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.f = f
	in.armed = true
	in.headWrites.Store(0)
}

// disarm keeps the action from running for kinds of requests for which it has not
// run yet.
func (in *injector) disarm() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.armed = false
}

// runAt runs the action if the injector is armed for this step and the action has not
// run for the kind of request yet.
func (in *injector) runAt(step, kind string, sc stepContext) {
	in.mu.Lock()
	run := in.armed && step == in.step && !in.done[kind]
	if run {
		in.done[kind] = true
	}
	sc.f = in.f
	in.mu.Unlock()
	if run {
		in.action(sc)
	}
}

func (in *injector) block(address string, blocked bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.blocked[address] = blocked
}

func (in *injector) isBlocked(address string) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.blocked[address]
}

// injectedClient is an upstream client that injects faults before and after it sends
// a request, and while the response is read.
type injectedClient struct {
	*engineapi.Client
	in *injector
}

// kindOf returns the kind of a request: completion or filing.
func kindOf(call upstream.Call) string {
	if strings.HasPrefix(call.Path, "/v1/") {
		return "completion"
	}
	return "filing"
}

func (c injectedClient) Send(ctx context.Context, address string, call upstream.Call) (upstream.Response, error) {
	kind := kindOf(call)
	var silent, cut atomic.Bool
	sc := stepContext{address: address, silence: func() { silent.Store(true) }, cut: func() { cut.Store(true) }}
	c.in.runAt(stepPick, kind, sc)
	c.in.runAt(stepConnect, kind, sc)
	if silent.Load() || c.in.isBlocked(address) {
		ctx, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
		defer cancel()
		<-ctx.Done()
		return c.Client.Send(ctx, address, call)
	}
	resp, err := c.Client.Send(ctx, address, call)
	if err != nil {
		return resp, err
	}
	c.in.runAt(stepSend, kind, sc)
	if silent.Load() {
		<-ctx.Done()
		_ = resp.Body.Close()
		return upstream.Response{}, verdict.New(verdict.MayHaveRun, http.StatusBadGateway, upstream.CodeCut, "silent").WithCause(ctx.Err())
	}
	resp.Body = &injectedBody{ReadCloser: resp.Body, ctx: ctx, in: c.in, kind: kind, address: address, silent: &silent, cut: &cut}
	return resp, nil
}

func (c injectedClient) Resume(ctx context.Context, address string, call upstream.Call, after int) (upstream.Response, error) {
	if c.in.isBlocked(address) {
		<-ctx.Done()
	}
	return c.Client.Resume(ctx, address, call, after)
}

func (c injectedClient) Probe(ctx context.Context, address string) (upstream.Report, error) {
	if c.in.isBlocked(address) {
		ctx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		<-ctx.Done()
		return upstream.Report{}, ctx.Err()
	}
	return c.Client.Probe(ctx, address)
}

// injectedBody is a response body that injects faults at the steps of a stream.
type injectedBody struct {
	io.ReadCloser
	ctx     context.Context
	in      *injector
	kind    string
	address string
	events  int
	silent  *atomic.Bool
	cut     *atomic.Bool
}

func (b *injectedBody) Read(p []byte) (int, error) {
	sc := stepContext{address: b.address, silence: func() { b.silent.Store(true) }, cut: func() { b.cut.Store(true) }}
	switch {
	case b.events == 0:
		b.in.runAt(stepFirstToken, b.kind, sc)
	case b.events >= matrixTokens:
		b.in.runAt(stepEnd, b.kind, sc)
	case b.events >= matrixTokens/2:
		b.in.runAt(stepMidStream, b.kind, sc)
	}
	if b.silent.Load() || b.in.isBlocked(b.address) {
		<-b.ctx.Done()
		return 0, b.ctx.Err()
	}
	if b.cut.Load() {
		return 0, io.ErrUnexpectedEOF
	}
	n, err := b.ReadCloser.Read(p[:min(len(p), 200)])
	b.events += strings.Count(string(p[:n]), "\n\n")
	return n, err
}

// injectedStore is a store that injects faults when the ledger writes the head of a
// shard: the first write is the claim, later ones are the outcome.
type injectedStore struct {
	objectstore.Store
	in *injector
	// service is the address of a service, for faults that strike an upstream.
	service string
}

func (s injectedStore) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (objectstore.Object, error) {
	if strings.HasPrefix(key, "ledger/") && strings.HasSuffix(key, "/head") {
		step := stepClaim
		if s.in.headWrites.Add(1) > 1 {
			step = stepRecord
		}
		var silent, cut atomic.Bool
		s.in.runAt(step, "filing", stepContext{
			address: s.service,
			silence: func() { silent.Store(true) },
			cut:     func() { cut.Store(true) },
		})
		if silent.Load() {
			<-ctx.Done()
			return objectstore.Object{}, fmt.Errorf("%w: %w", objectstore.ErrOutcomeUnknown, ctx.Err())
		}
		if cut.Load() {
			_, _ = s.Store.Put(ctx, key, value, ifVersion)
			return objectstore.Object{}, objectstore.ErrOutcomeUnknown
		}
	}
	return s.Store.Put(ctx, key, value, ifVersion)
}
