package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"text/tabwriter"

	"github.com/hibiscuscove/hibiscuscove/internal/permit"
)

// quotaDump is the part of the state dump of a VM on the users' platform that quotas needs.
type quotaDump struct {
	Settings struct {
		Name string `json:"name"`
	} `json:"settings"`
	Quotas permit.QuotaStatus `json:"quotas"`
	Peers  []struct {
		Name    string `json:"name"`
		Control string `json:"control"`
	} `json:"peers"`
}

// quotaRow is the state of one organisation's quota at one issuer.
type quotaRow struct {
	Organisation string `json:"organisation"`
	Issuer       string `json:"issuer"`
	permit.IssuedQuota
}

// quotas prints the use of all organisations' quotas: as seen by the VMs that issue them
// to the VM that is asked.
func quotas(ctx context.Context, c *client, _ []string) error {
	asked, err := c.fetchQuotas(ctx, c.options.node)
	if err != nil {
		return err
	}
	controls := make(map[string]string)
	for _, p := range asked.Peers {
		controls[p.Name] = p.Control
	}
	var rows []quotaRow
	var unreachable []string
	done := make(map[string]bool)
	for _, issuer := range asked.Quotas.Issuers {
		if issuer == "" || done[issuer] {
			continue
		}
		done[issuer] = true
		dump := asked
		if issuer != asked.Settings.Name {
			if dump, err = c.fetchQuotas(ctx, controls[issuer]); err != nil {
				unreachable = append(unreachable, fmt.Sprintf("%s: %v", issuer, err))
				continue
			}
		}
		for organisation, issued := range dump.Quotas.Issued {
			rows = append(rows, quotaRow{organisation, issuer, issued})
		}
	}
	slices.SortFunc(rows, func(x, y quotaRow) int {
		return cmp.Or(cmp.Compare(x.Organisation, y.Organisation), cmp.Compare(x.Issuer, y.Issuer))
	})
	raw, err := json.Marshal(rows)
	if err != nil {
		return err
	}
	err = printResponse(c, raw, func(rows []quotaRow) {
		w := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
		_, _ = fmt.Fprintln(w, "ORGANISATION\tLIMIT/S\tUSED/S\tUSE\tLEVEL\tBURST\tAT LIMIT\tISSUER\tSHARE")
		for _, r := range rows {
			_, _ = fmt.Fprintf(w, "%s\t%d\t%.0f\t%.0f%%\t%.0f\t%d\t%t\t%s\t%.2f\n", r.Organisation, r.RatePerS, r.UsedPerS,
				100*r.UsedPerS/float64(max(1, r.RatePerS)), r.Level, r.Burst, r.AtLimit, r.Issuer, r.Share)
		}
		_ = w.Flush()
	})
	for _, problem := range unreachable {
		_, _ = fmt.Fprintln(c.stderr, "covectl: issuer not asked:", problem)
	}
	return err
}

// fetchQuotas reads the state dump of a VM at its control address.
func (c *client) fetchQuotas(ctx context.Context, control string) (quotaDump, error) {
	var dump quotaDump
	raw, err := c.call(ctx, http.MethodGet, "http://"+control+"/v1/dump", "", nil)
	if err != nil {
		return dump, err
	}
	if err := json.Unmarshal(raw, &dump); err != nil {
		return dump, fmt.Errorf("dump of %s: %w", control, err)
	}
	return dump, nil
}
