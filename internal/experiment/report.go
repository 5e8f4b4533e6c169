package experiment

import (
	"encoding/xml"
	"fmt"
	"io"
	"text/tabwriter"
)

// row has the sums of an experiment's figures over its seeds, in the units of the
// table.
type row struct {
	Result
	seeds                                       int
	utility, inTarget, hits, p50, p99           float64
	late, refused, failed, recomputed, fetched  float64
	rejected, outdated, rolloutS, estimateError float64
}

// sumRows sums the results over the seeds of each experiment, in the order in which
// the experiments first appear.
func sumRows(results []Result) []*row {
	var sums []*row
	byKey := make(map[[3]string]*row)
	for _, r := range results {
		key := [3]string{r.Deployment, r.Pattern, r.Policy}
		m := byKey[key]
		if m == nil {
			m = &row{Result: r}
			byKey[key] = m
			sums = append(sums, m)
		}
		m.seeds++
		for _, f := range []struct {
			sum   *float64
			value float64
		}{
			{&m.utility, r.MeanUtility()}, {&m.inTarget, r.InTargetShare()}, {&m.hits, r.HitShare()},
			{&m.p50, float64(r.FirstTokenQuantile(0.5).Milliseconds())}, {&m.p99, float64(r.FirstTokenQuantile(0.99).Milliseconds())},
			{&m.late, share(r.Late, r.Requests)}, {&m.refused, share(r.Refused, r.Requests)}, {&m.failed, share(r.Failed, r.Requests)},
			{&m.recomputed, float64(r.RecomputedTokens) / 1000}, {&m.fetched, float64(r.FetchedTokens) / 1000}, {&m.rejected, float64(r.RejectedAttempts)},
			{&m.outdated, float64(r.Outdated)}, {&m.rolloutS, r.RolloutMS / 1000}, {&m.estimateError, r.MedianEstimateError()},
		} {
			*f.sum += f.value
		}
	}
	return sums
}

// WriteTable writes a table with a line of means over the seeds for each experiment.
// Shares are of all requests, times in ms, tokens in thousands.
func WriteTable(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "deployment\tpattern\tpolicy\tworth\tin target\tlate\trefused\tfailed\tfirst p50\tp99\thits\tread again\tmoved\tturned away\toutdated\trollout s\testimate off\t")
	for _, m := range sumRows(results) {
		n := float64(m.seeds)
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f\t%.0f\t%.3f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.0f\t\n",
			m.Deployment, m.Pattern, m.Policy, m.utility/n, m.inTarget/n, m.late/n, m.refused/n, m.failed/n, m.p50/n, m.p99/n, m.hits/n,
			m.recomputed/n, m.fetched/n, m.rejected/n, m.outdated/n, m.rolloutS/n, m.estimateError/n)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("experiment: write table: %w", err)
	}
	return nil
}

// Sizes in a plot, in pixels.
const (
	plotLabelWidth = 420
	plotBarWidth   = 400
	plotLineHeight = 18
	plotMargin     = 10
)

// WritePlot writes a bar chart of the mean utility of each experiment as SVG.
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
	picture := svg{Width: plotLabelWidth + plotBarWidth + 8*plotMargin}
	y := plotMargin
	for _, m := range sumRows(results) {
		utility := m.utility / float64(m.seeds)
		y += plotLineHeight
		picture.Rects = append(picture.Rects, rect{plotLabelWidth, y - plotLineHeight + 5, int(utility * plotBarWidth), plotLineHeight - 4, "#4477aa"})
		picture.Texts = append(picture.Texts,
			text{plotMargin, y, 12, m.Deployment + " · " + m.Pattern + " · " + m.Policy},
			text{plotLabelWidth + int(utility*plotBarWidth) + plotMargin/2, y, 12, fmt.Sprintf("%.3f", utility)})
	}
	picture.Height = y + 2*plotMargin
	if err := xml.NewEncoder(w).Encode(picture); err != nil {
		return fmt.Errorf("experiment: write plot: %w", err)
	}
	return nil
}
