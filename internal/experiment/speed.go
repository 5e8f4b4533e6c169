package experiment

import (
	"slices"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/capacity"
	"github.com/hibiscuscove/hibiscuscove/internal/costmodel"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

// Policy is how VMs choose an engine.
type Policy struct {
	costmodel.Policy
	// Speeds is where VMs know the speeds of engines from.
	Speeds SpeedSource
}

// SpeedSource is the source of the speeds of engines.
type SpeedSource string

// The sources. Without one all engines count as equally fast.
const (
	learntSpeeds SpeedSource = "learnt"
	trueSpeeds   SpeedSource = "true"
)

// speedInterval is the interval at which VMs update the speeds.
const speedInterval = 500 * time.Millisecond

// followSpeeds makes a VM update the speeds of engines.
func (f *fleet) followSpeeds(v *vm) {
	f.loop.After(time.Duration(costmodel.Hash(v.name)%uint64(speedInterval)), func() {
		f.loop.Every(speedInterval, func() {
			if v.up {
				f.updateSpeeds(v)
			}
		})
	})
}

func (f *fleet) updateSpeeds(v *vm) {
	switch f.policy.Speeds {
	case learntSpeeds:
		now := f.loop.Now()
		var list []capacity.Upstream
		for _, u := range v.table.All() {
			list = append(list, capacity.Upstream{Incarnation: u.Incarnation(), Service: u.Service, Slots: u.Slots})
		}
		v.book.Retain(now, list)
		v.book.Refresh(now)
		v.table.SetCapacities(func(incarnation string) roster.Capacity {
			figure := v.book.Speed(incarnation)
			return roster.Capacity{Speed: figure.Relative, Weight: figure.Weight}
		})
	case trueSpeeds:
		speeds := make(map[string]float64)
		for _, e := range f.engines {
			speeds[e.upstream.Incarnation()] = f.usualSlowdown() / e.slowdown
		}
		v.table.SetCapacities(func(incarnation string) roster.Capacity {
			speed := speeds[incarnation]
			return roster.Capacity{Speed: speed, Weight: speed}
		})
	}
}

// usualSlowdown returns the median of the slowdowns.
func (f *fleet) usualSlowdown() float64 {
	all := make([]float64, 0, len(f.engines))
	for _, e := range f.engines {
		all = append(all, e.slowdown)
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// unevenEngines gives each third engine of a data centre another speed.
func (f *fleet) unevenEngines() {
	speeds := []float64{0.7, 0.7, 1.7}
	for i, e := range f.engines {
		e.setSlowdown(1 / speeds[i%len(speeds)])
	}
}
