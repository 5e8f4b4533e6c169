package ingress

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/lineage"
	"github.com/hibiscuscove/hibiscuscove/internal/routing"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

// resolveStream finds the build at which a stream that the caller takes up goes on. It
// returns an error if that is not known.
func (j *job) resolveStream(ctx context.Context) error {
	if j.h.opts.Streams == nil || j.Route.Kind != routing.Streaming {
		return nil
	}
	j.stream = lineage.Stream{ID: j.Head.ID, Organisation: j.Organisation.Name, Service: j.Service.Name}
	unusable := slices.Contains(j.Head.Unusable, "resumes")
	if j.Head.ResumeAfter == "" && j.Head.Resumes == "" && !unusable {
		return nil
	}
	resolution := j.h.opts.Streams.Resolve(ctx, j.StartedAt, lineage.Query{
		Stream: j.Head.Resumes, Organisation: j.Organisation.Name, Services: j.PossibleServices(),
		Begun: j.Head.ResumeAfter != "" || unusable, Life: j.RouteTimeout(),
	})
	switch resolution.Action {
	case lineage.Any:
		return nil
	case lineage.GoOn:
		if resolution.Service != j.Service.Name {
			j.Service, _ = j.Configuration.Service(resolution.Service)
		}
		if j.Head.Resumes != "" {
			j.stream.ID = j.Head.Resumes
		}
		j.stream.Service = resolution.Service
		j.build = &resolution.Build
		return nil
	}
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, codeUnknownStream, "it is not known which build began the stream").
		WithRetryAfter(resolution.RetryAfter)
}

// beginStream makes the build of the upstream that sent the first event the only one
// for the rest of the stream, and lets other VMs know. It must be called before the
// event is passed on.
func (j *job) beginStream(now time.Time, build string) {
	if j.h.opts.Streams == nil || !j.Route.Resumable {
		return
	}
	if j.build == nil {
		j.build = &build
	}
	j.h.opts.Streams.Begin(now, j.stream, *j.build)
	j.streamBegun = true
}

// endStream records that the answer has ended.
func (j *job) endStream() {
	if j.streamBegun {
		j.h.opts.Streams.End(j.h.opts.Now(), j.stream)
	}
}
