package eventlog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/charmbracelet/log"
)

const (
	// foldInterval is the interval at which collected refusals are written.
	foldInterval = time.Second
	// maxFolds bounds the kinds collected at once. With 4 tiers, 4 reasons and both
	// hosts of a request, 512 are enough for 16 organisations in a flood.
	maxFolds = 512
	// maxFoldedIDs bounds the request ids in one line, to about 1 KB.
	maxFoldedIDs = 48
)

// foldKey is the kind of a refusal.
type foldKey struct{ message, organisation, tier, reason string }

func (k foldKey) compare(other foldKey) int {
	return cmp.Or(
		cmp.Compare(k.message, other.message), cmp.Compare(k.tier, other.tier),
		cmp.Compare(k.organisation, other.organisation), cmp.Compare(k.reason, other.reason))
}

// fold summarizes the refusals of one kind.
type fold struct {
	first, last time.Time
	count       int
	ids         []string
}

// foldSet collects refusals by kind.
type foldSet struct{ byKey map[foldKey]*fold }

func newFoldSet() *foldSet { return &foldSet{byKey: map[foldKey]*fold{}} }

// add collects a refusal. It reports false if the refusal is of a new kind and
// maxFolds kinds are already collected.
func (f *foldSet) add(n line) bool {
	key := foldKey{n.message, n.refusal.Organisation, n.refusal.Tier, n.refusal.Reason}
	kind := f.byKey[key]
	if kind == nil {
		if len(f.byKey) == maxFolds {
			return false
		}
		kind = &fold{first: n.time}
		f.byKey[key] = kind
	}
	kind.count++
	kind.last = n.time
	if len(kind.ids) < maxFoldedIDs {
		kind.ids = append(kind.ids, n.refusal.Request)
	}
	return true
}

// sortedKeys returns the collected kinds in a deterministic order.
func (f *foldSet) sortedKeys() []foldKey {
	keys := make([]foldKey, 0, len(f.byKey))
	for key := range f.byKey {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, foldKey.compare)
	return keys
}

// summaryLine returns the line that stands for the collected refusals of one kind.
func (f *foldSet) summaryLine(key foldKey) line {
	kind := f.byKey[key]
	return line{
		time: kind.last, class: ClassEnd, level: log.InfoLevel, message: MessageFolded,
		fields: []any{
			"kind", key.message, "organisation", key.organisation, "tier", key.tier, "reason", key.reason,
			"count", kind.count, "first", kind.first.UTC().Format(time.RFC3339Nano), "requests", strings.Join(kind.ids, ","),
		},
	}
}

func (f *foldSet) remove(key foldKey) { delete(f.byKey, key) }
