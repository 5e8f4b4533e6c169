package lineage

import "time"

// retryUnanswered is the Retry-After of a stream that a VM may know which did not
// answer.
const retryUnanswered = 300 * time.Millisecond

// Question asks another VM for a stream.
type Question struct {
	Stream       string   `json:"stream"`
	Organisation string   `json:"organisation,omitempty"`
	Services     []string `json:"services"`
	LifeMS       int64    `json:"life_ms"`
}

// Answer is the answer to a Question.
type Answer struct {
	Facts  []Fact   `json:"facts,omitempty"`
	Served []Served `json:"served,omitempty"`
}

// fromFacts returns where a stream may go on by facts. found is false if they are not
// about the stream.
func fromFacts(q Query, facts []Fact, source Source) (r Resolution, found bool) {
	for _, service := range q.Services {
		for _, f := range facts {
			if f.Stream != (Stream{q.Stream, q.Organisation, service}) {
				continue
			}
			if f.Build == "" {
				return Resolution{Action: Refuse, Source: source}, true
			}
			return Resolution{Action: GoOn, Service: service, Build: f.Build, Source: source}, true
		}
	}
	return Resolution{}, false
}

// fromHistory returns where a stream that nobody knows may go on. served are the
// answers for the preferred service, this VM's own included.
func fromHistory(q Query, served []Served, asked, answered int) Resolution {
	r := Resolution{Action: Refuse, Source: FromNone, Asked: asked, Answered: answered}
	if len(q.Services) == 0 {
		return r
	}
	build, certainIn := soleBuild(served, q.Life)
	switch {
	case answered < asked:
		// Who did not answer may know the stream, or of another build.
		r.RetryAfter = retryUnanswered
	case build != "":
		r.Action, r.Service, r.Build, r.Source = GoOn, q.Services[0], build, FromHistory
	case asked == 0:
		r.RetryAfter = retryUnanswered
	default:
		r.RetryAfter = certainIn
	}
	return r
}
