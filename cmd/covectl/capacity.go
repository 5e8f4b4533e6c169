package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/capacity"
)

// capacityDump is the part of an entry VM's dump about the learnt capacity of upstreams.
type capacityDump struct {
	Capacity struct {
		Uneven  []string          `json:"uneven"`
		Figures []capacity.Figure `json:"figures"`
	} `json:"capacity"`
}

// showCapacity prints what an entry VM has learnt of the speeds of upstreams. The -node flag
// is the VM's control address.
func showCapacity(ctx context.Context, c *client, _ []string) error {
	raw, err := c.call(ctx, http.MethodGet, "http://"+c.options.node+"/v1/dump", "", nil)
	if err != nil {
		return err
	}
	return printResponse(c, raw, func(d capacityDump) {
		if len(d.Capacity.Uneven) > 0 {
			c.printf("uneven services: %s\n\n", strings.Join(d.Capacity.Uneven, ", "))
		}
		w := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
		_, _ = fmt.Fprintln(w, "UPSTREAM\tSERVICE\tSPEED\tAGAINST MEDIAN\tIN FORCE\tWEIGHT\tCONCURRENT\tSAMPLES\tCONFIDENCE\tAGE")
		for _, f := range d.Capacity.Figures {
			concurrent := "-"
			if f.Concurrent > 0 {
				concurrent = fmt.Sprint(f.Concurrent)
			}
			_, _ = fmt.Fprintf(w, "%s\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%s\t%.0f\t%.2f\t%s\n", f.Incarnation, f.Service, f.Factor, f.Measured,
				f.Relative, f.Weight, concurrent, f.Samples, f.Confidence, time.Duration(f.AgeMS)*time.Millisecond)
		}
		_ = w.Flush()
	})
}
