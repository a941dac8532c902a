package control

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"mimosafront/internal/message"
)

const (
	// quarantineMemorySize bounds the fingerprints that are told to a host
	// whose link opens.
	quarantineMemorySize = 256
	// quarantineMemory is for how long they are told.
	quarantineMemory = 10 * time.Minute
)

// quarantineNews keeps the newest news of each fingerprint, since news may be
// lost with a link.
type quarantineNews struct {
	byFingerprint *lru.Cache[uint64, toldQuarantine]
}

type toldQuarantine struct {
	news message.Quarantine
	at   time.Time
}

func newQuarantineNews() quarantineNews {
	cache, _ := lru.New[uint64, toldQuarantine](quarantineMemorySize)
	return quarantineNews{byFingerprint: cache}
}

// note keeps the news of a frame, if it carries any, unless news of more servers
// is known.
func (q quarantineNews) note(now time.Time, f *message.Frame) {
	if f.Quarantine == nil {
		return
	}
	old, known := q.byFingerprint.Peek(f.Quarantine.Fingerprint)
	if known && len(old.news.Servers) > len(f.Quarantine.Servers) {
		return
	}
	q.byFingerprint.Add(f.Quarantine.Fingerprint, toldQuarantine{news: *f.Quarantine, at: now})
}

// frames returns the news to tell a host whose link opened.
func (q quarantineNews) frames(now time.Time) []message.Frame {
	var frames []message.Frame
	for _, told := range q.byFingerprint.Values() {
		news := told.news
		news.AgeMs += int(now.Sub(told.at).Milliseconds())
		if time.Duration(news.AgeMs)*time.Millisecond < quarantineMemory {
			frames = append(frames, message.Frame{Quarantine: &news})
		}
	}
	return frames
}
