package request

import "github.com/rcrowley/go-metrics"

// sampleSize is the number of values in the sample of a histogram.
const sampleSize = 1028

// handlerMetrics holds the metrics that are updated for each request.
type handlerMetrics struct {
	requests     metrics.Counter
	refusals     metrics.Counter
	attempts     metrics.Counter
	retries      metrics.Counter
	reattached   metrics.Counter
	continued    metrics.Counter
	dropped      metrics.Counter
	cancelled    metrics.Counter
	crashes      metrics.Counter
	replayed     metrics.Counter
	events       metrics.Counter
	cachedTokens metrics.Counter
	promptTokens metrics.Counter
	firstEvent   metrics.Histogram
	inFlight     metrics.Counter
}

func newHandlerMetrics(r metrics.Registry) handlerMetrics {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, r) }
	return handlerMetrics{
		requests:     counter("requests"),
		refusals:     counter("refusals"),
		attempts:     counter("attempts"),
		retries:      counter("retries"),
		reattached:   counter("streams.reattached"),
		continued:    counter("streams.continued"),
		dropped:      counter("streams.dropped_events"),
		cancelled:    counter("streams.cancelled"),
		crashes:      counter("upstreams.deaths"),
		replayed:     counter("ledger.replayed"),
		events:       counter("streams.events"),
		cachedTokens: counter("tokens.cached"),
		promptTokens: counter("tokens.prompt"),
		firstEvent: metrics.GetOrRegisterHistogram("streams.first_event_us", r,
			metrics.NewUniformSample(sampleSize)),
		inFlight: counter("in_flight"),
	}
}
