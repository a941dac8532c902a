package load

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"mimosafront/internal/policy"
	"mimosafront/internal/standin/engine"
	"mimosafront/internal/verdict"
)

// journalTimeout bounds the reading of one journal.
const journalTimeout = 10 * time.Second

// readJournals reads the journals of all engines. An engine that is down is
// left out.
func readJournals(ctx context.Context, p *policy.Policy) ([]engine.Entry, int, error) {
	var all []engine.Entry
	engines := 0
	for name, server := range p.Servers {
		if server.Kind != policy.ServerKindEngine {
			continue
		}
		if err := CheckLoopback([]string{server.Address}); err != nil {
			return nil, 0, fmt.Errorf("server %s: %w", name, err)
		}
		entries, err := readJournal(ctx, server.Address)
		if err != nil {
			continue
		}
		engines++
		all = append(all, entries...)
	}
	return all, engines, ctx.Err()
}

func readJournal(ctx context.Context, address string) ([]engine.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, journalTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/journal", nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	return engine.ReadJournal(response.Body)
}

// judge compares what engines ran since a time with what callers were told.
func judge(entries []engine.Entry, since time.Time, records []Record) Journals {
	answered := map[string]bool{}
	notRun := map[string]bool{}
	for _, record := range records {
		answered[record.ID] = record.Outcome == Good || record.Outcome == Late
		notRun[record.ID] = record.Verdict == string(verdict.NotRun)
		for _, id := range record.RefusedIDs {
			notRun[id] = true
		}
	}
	var j Journals
	runs := map[string]int{}
	for _, entry := range entries {
		if entry.Kind != engine.KindRequest || entry.Time.Before(since) {
			continue
		}
		runs[entry.ID]++
		j.PrefillTokens += entry.PrefillTokens
		j.CachedTokens += entry.CachedTokens
		j.OutputTokens += entry.OutputTokens
		if !answered[entry.ID] {
			j.WastedTokens += entry.PrefillTokens
		}
	}
	for id, count := range runs {
		j.Requests++
		if count > 1 {
			j.Repeated++
		}
		if notRun[id] {
			j.FalseNotRun++
		}
	}
	return j
}
