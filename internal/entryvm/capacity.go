package entryvm

import (
	"math"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/hibiscuscove/hibiscuscove/internal/beacon"
	"github.com/hibiscuscove/hibiscuscove/internal/capacity"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

// capacityInterval is the interval between two updates of the figures, each of which takes
// 0.3 ms of a core with 140 upstreams.
const capacityInterval = 500 * time.Millisecond

// maxCapacityMetrics limits the upstreams whose figures are on the metrics page: those that
// take effect. The dump has all.
const maxCapacityMetrics = 64

// CapacityStatus is the part of the dump about the learnt capacity of upstreams.
type CapacityStatus struct {
	// Uneven holds the services whose upstreams differ in speed.
	Uneven  []string          `json:"uneven,omitempty"`
	Figures []capacity.Figure `json:"figures"`
}

func (v *VM) capacityStatus() CapacityStatus {
	return CapacityStatus{Uneven: v.capacity.UnevenServices(), Figures: v.capacity.Figures()}
}

// learnCapacity adds what a peer has observed.
func (v *VM) learnCapacity(now time.Time, m beacon.Message) {
	if n := v.capacity.Learn(now, m.Name, m.Incarnation, m.Capacity); n > 0 {
		metrics.GetOrRegisterCounter("capacity_observations.learned", v.metrics).Inc(int64(n))
	}
}

// maintainCapacity updates the figures of the upstreams and applies them, if that is due.
func (v *VM) maintainCapacity(now time.Time) {
	if now.Sub(v.capacityAt) < capacityInterval {
		return
	}
	v.capacityAt = now
	listed := v.upstreams.All()
	list := make([]capacity.Upstream, 0, len(listed))
	for _, u := range listed {
		list = append(list, capacity.Upstream{Incarnation: u.Incarnation(), Service: u.Service, Slots: u.Slots})
	}
	v.capacity.Retain(now, list)
	changes := v.capacity.Refresh(now)
	for _, c := range changes {
		v.logCapacity(c)
	}
	figures := v.capacity.Figures()
	byName := make(map[string]roster.Capacity)
	for _, f := range figures {
		if f.Relative != 1 || f.Weight != 1 || f.Concurrent > 0 {
			byName[f.Incarnation] = roster.Capacity{Speed: f.Relative, Weight: f.Weight, Concurrent: f.Concurrent}
		}
	}
	v.upstreams.SetCapacities(func(incarnation string) roster.Capacity { return byName[incarnation] })
	v.updateCapacityMetrics(figures)
}

// logCapacity logs that an upstream has been found slow, fast or usual, or a service uneven
// or even.
func (v *VM) logCapacity(c capacity.Change) {
	if c.Service != "" {
		v.log.Info().Str("service", c.Service).Bool("uneven", c.Uneven).Msg("upstreams of a service differ in speed")
		return
	}
	f := c.Figure
	message, counter := "upstream is as fast as others", "capacity_found.sound"
	switch {
	case f.Slow:
		message, counter = "upstream is slow", "capacity_found.slow"
	case f.Fast:
		message, counter = "upstream is fast", "capacity_found.fast"
	}
	metrics.GetOrRegisterCounter(counter, v.metrics).Inc(1)
	v.log.Info().Str("incarnation", f.Incarnation).Str("service", f.Service).Dict("figure", zerolog.Dict().
		Float64("factor", f.Factor).Float64("measured", f.Measured).Float64("weight", f.Weight).Float64("samples", f.Samples).
		Float64("confidence", f.Confidence).Int64("age_ms", f.AgeMS)).Msg(message)
}

// updateCapacityMetrics sets the gauges of the figures that take effect and removes those
// of the others.
func (v *VM) updateCapacityMetrics(figures []capacity.Figure) {
	shown := make(map[string]bool)
	slow, fast := 0, 0
	for _, f := range figures {
		switch {
		case f.Slow:
			slow++
		case f.Fast:
			fast++
		}
		if f.Relative == 1 && f.Weight == 1 && f.Concurrent == 0 || len(shown) >= maxCapacityMetrics {
			continue
		}
		shown[f.Incarnation] = true
		for name, value := range capacityGauges(f) {
			metrics.GetOrRegisterGauge(name, v.metrics).Update(value)
		}
	}
	for incarnation := range v.capacityShown {
		if !shown[incarnation] {
			for name := range capacityGauges(capacity.Figure{Incarnation: incarnation}) {
				v.metrics.Unregister(name)
			}
		}
	}
	v.capacityShown = shown
	metrics.GetOrRegisterGauge("upstreams_slow", v.metrics).Update(int64(slow))
	metrics.GetOrRegisterGauge("upstreams_fast", v.metrics).Update(int64(fast))
	metrics.GetOrRegisterGauge("services_uneven", v.metrics).Update(int64(len(v.capacity.UnevenServices())))
}

// capacityGauges returns the gauges of a figure, by name.
func capacityGauges(f capacity.Figure) map[string]int64 {
	percent := func(x float64) int64 { return int64(math.Round(100 * x)) }
	return map[string]int64{
		"upstream_speed_percent." + f.Incarnation:            percent(f.Factor),
		"upstream_speed_relative_percent." + f.Incarnation:   percent(f.Relative),
		"upstream_speed_confidence_percent." + f.Incarnation: percent(f.Confidence),
		"upstream_speed_samples." + f.Incarnation:            int64(f.Samples),
		"upstream_speed_age_ms." + f.Incarnation:             f.AgeMS,
		"upstream_weight_percent." + f.Incarnation:           percent(f.Weight),
		"upstream_concurrent." + f.Incarnation:               int64(f.Concurrent),
	}
}
