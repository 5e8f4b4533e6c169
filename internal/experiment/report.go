package experiment

import (
	"encoding/xml"
	"fmt"
	"io"
	"text/tabwriter"
)

// row is the mean of one experiment over its seeds.
type row struct {
	Result
	seeds                               int
	worth, inTarget, hits, p50, p99     float64
	late, refused, failed, again, moved float64
	away, outdated, rollout, estimate   float64
}

// rows gathers the results of several seeds, in the order of the first of each.
func rows(results []Result) []*row {
	var list []*row
	known := make(map[[3]string]*row)
	for _, r := range results {
		key := [3]string{r.Deployment, r.Pattern, r.Policy}
		m := known[key]
		if m == nil {
			m = &row{Result: r}
			known[key] = m
			list = append(list, m)
		}
		m.seeds++
		for _, f := range []struct {
			sum   *float64
			value float64
		}{
			{&m.worth, r.WorthShare()}, {&m.inTarget, r.InTargetShare()}, {&m.hits, r.HitShare()},
			{&m.p50, float64(r.First(0.5).Milliseconds())}, {&m.p99, float64(r.First(0.99).Milliseconds())},
			{&m.late, share(r.Late, r.Requests)}, {&m.refused, share(r.Refused, r.Requests)}, {&m.failed, share(r.Failed, r.Requests)},
			{&m.again, float64(r.AgainTokens) / 1000}, {&m.moved, float64(r.MovedTokens) / 1000}, {&m.away, float64(r.TurnedAway)},
			{&m.outdated, float64(r.Outdated)}, {&m.rollout, r.RolloutMS / 1000}, {&m.estimate, r.EstimateError()},
		} {
			*f.sum += f.value
		}
	}
	return list
}

// WriteTable writes the means over the seeds, side by side. Shares are of all
// requests, times in ms, tokens in thousands.
func WriteTable(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "deployment\tpattern\tpolicy\tworth\tin target\tlate\trefused\tfailed\tfirst p50\tp99\thits\tread again\tmoved\tturned away\toutdated\trollout s\testimate off\t")
	for _, m := range rows(results) {
		n := float64(m.seeds)
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f\t%.0f\t%.3f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.0f\t\n",
			m.Deployment, m.Pattern, m.Policy, m.worth/n, m.inTarget/n, m.late/n, m.refused/n, m.failed/n, m.p50/n, m.p99/n, m.hits/n,
			m.again/n, m.moved/n, m.away/n, m.outdated/n, m.rollout/n, m.estimate/n)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("experiment: write table: %w", err)
	}
	return nil
}

// The sizes of a plot, in pixels.
const (
	plotLabel  = 420
	plotBar    = 400
	plotLine   = 18
	plotMargin = 10
)

// WritePlot writes a bar for the worth of each experiment, as SVG.
func WritePlot(w io.Writer, results []Result) error {
	type text struct {
		X    int    `xml:"x,attr"`
		Y    int    `xml:"y,attr"`
		Size int    `xml:"font-size,attr"`
		Body string `xml:",chardata"`
	}
	type rect struct {
		X      int    `xml:"x,attr"`
		Y      int    `xml:"y,attr"`
		Width  int    `xml:"width,attr"`
		Height int    `xml:"height,attr"`
		Fill   string `xml:"fill,attr"`
	}
	type svg struct {
		XMLName xml.Name `xml:"http://www.w3.org/2000/svg svg"`
		Width   int      `xml:"width,attr"`
		Height  int      `xml:"height,attr"`
		Rects   []rect   `xml:"rect"`
		Texts   []text   `xml:"text"`
	}
	picture := svg{Width: plotLabel + plotBar + 8*plotMargin}
	y := plotMargin
	for _, m := range rows(results) {
		worth := m.worth / float64(m.seeds)
		y += plotLine
		picture.Rects = append(picture.Rects, rect{plotLabel, y - plotLine + 5, int(worth * plotBar), plotLine - 4, "#4477aa"})
		picture.Texts = append(picture.Texts,
			text{plotMargin, y, 12, m.Deployment + " · " + m.Pattern + " · " + m.Policy},
			text{plotLabel + int(worth*plotBar) + plotMargin/2, y, 12, fmt.Sprintf("%.3f", worth)})
	}
	picture.Height = y + 2*plotMargin
	if err := xml.NewEncoder(w).Encode(picture); err != nil {
		return fmt.Errorf("experiment: write plot: %w", err)
	}
	return nil
}
