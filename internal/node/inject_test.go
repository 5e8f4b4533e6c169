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

// The steps of a request's life at which faults strike.
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
	stepAnswer     = "answer"
)

const matrixTokens = 8

// moment is what is known when a step is reached.
type moment struct {
	f       *fleet
	address string
	// cut breaks the connection at hand, silence makes it fall silent.
	cut, silence func()
}

// injector runs an action once for each kind of request, when it reaches a step.
type injector struct {
	step   string
	action func(m moment)

	mu    sync.Mutex
	f     *fleet
	armed bool
	fired map[string]bool
	heads atomic.Int32
	// blocked holds the addresses that answer nothing.
	blocked map[string]bool
}

func newInjector(step string, action func(moment)) *injector {
	return &injector{step: step, action: action, fired: make(map[string]bool), blocked: make(map[string]bool)}
}

func (in *injector) arm(f *fleet) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.f = f
	in.armed = true
	in.heads.Store(0)
}

// disarm keeps the fault from striking a request that has not met it yet.
func (in *injector) disarm() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.armed = false
}

// at runs the action if the step is the injector's and the kind of request has
// not met it yet.
func (in *injector) at(step, kind string, m moment) {
	in.mu.Lock()
	run := in.armed && step == in.step && !in.fired[kind]
	if run {
		in.fired[kind] = true
	}
	m.f = in.f
	in.mu.Unlock()
	if run {
		in.action(m)
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

// injectedClient reaches the steps that lie on the way to upstreams.
type injectedClient struct {
	*engineapi.Client
	in *injector
}

func kindOf(call upstream.Call) string {
	if strings.HasPrefix(call.Path, "/v1/") {
		return "completion"
	}
	return "filing"
}

func (c injectedClient) Send(ctx context.Context, address string, call upstream.Call) (upstream.Answer, error) {
	kind := kindOf(call)
	var silent, cut atomic.Bool
	m := moment{address: address, silence: func() { silent.Store(true) }, cut: func() { cut.Store(true) }}
	c.in.at(stepPick, kind, m)
	c.in.at(stepConnect, kind, m)
	if silent.Load() || c.in.isBlocked(address) {
		ctx, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
		defer cancel()
		<-ctx.Done()
		return c.Client.Send(ctx, address, call)
	}
	answer, err := c.Client.Send(ctx, address, call)
	if err != nil {
		return answer, err
	}
	c.in.at(stepSend, kind, m)
	if silent.Load() {
		<-ctx.Done()
		_ = answer.Body.Close()
		return upstream.Answer{}, verdict.New(verdict.MayHaveRun, http.StatusBadGateway, upstream.CodeCut, "silent").WithCause(ctx.Err())
	}
	answer.Body = &injectedBody{ReadCloser: answer.Body, ctx: ctx, in: c.in, kind: kind, address: address, silent: &silent, cut: &cut}
	return answer, nil
}

func (c injectedClient) Resume(ctx context.Context, address string, call upstream.Call, after int) (upstream.Answer, error) {
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

// injectedBody reaches the steps within an answer.
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
	m := moment{address: b.address, silence: func() { b.silent.Store(true) }, cut: func() { b.cut.Store(true) }}
	switch {
	case b.events == 0:
		b.in.at(stepFirstToken, b.kind, m)
	case b.events >= matrixTokens:
		b.in.at(stepEnd, b.kind, m)
	case b.events >= matrixTokens/2:
		b.in.at(stepMidStream, b.kind, m)
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

// injectedStore reaches the steps of the ledger: the first write of a shard's
// head is the claim, the second the outcome.
type injectedStore struct {
	objectstore.Store
	in *injector
	// service is the address of a service, for faults of upstreams.
	service string
}

func (s injectedStore) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (objectstore.Object, error) {
	if strings.HasPrefix(key, "ledger/") && strings.HasSuffix(key, "/head") {
		step := stepClaim
		if s.in.heads.Add(1) > 1 {
			step = stepRecord
		}
		var silent, cut atomic.Bool
		s.in.at(step, "filing", moment{
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
