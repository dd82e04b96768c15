package clock

import (
	"maps"
	"slices"
	"time"
)

const (
	// voiceAge is how long a process's word counts: many times as long as the
	// pause between two, so that a few may be lost.
	voiceAge = 5 * time.Second
	// leastVoices is the least number of voices of which one may be wrong.
	leastVoices = 3
	// medianAge is how long the median stands: every decision asks for the time.
	medianAge = 50 * time.Millisecond
)

// MedianClock is the time of day by the word of many processes. That of a single machine
// may jump by seconds: scheduled work would begin too early, and all that waits
// would look older than it is. The median stands while most are right. The zero
// value has heard nobody.
type MedianClock struct {
	voices map[string]voice
	// beyond is the median as found at made, 0 before there was one.
	beyond time.Duration
	made   time.Duration
}

// voice is what one process said last: its time of day beyond our steady clock.
type voice struct {
	beyond time.Duration
	heard  time.Duration
}

// Observe takes a process's time of day, since 1970, at a time on our steady clock.
func (a *MedianClock) Observe(from string, said, at time.Duration) {
	if a.voices == nil {
		a.voices = map[string]voice{}
	}
	a.voices[from] = voice{beyond: said - at, heard: at}
}

// TimeOfDay returns the time of day, since 1970, at a time on our steady clock. While too
// few are heard the last median stands, since our steady clock goes on; false before
// there was one.
func (a *MedianClock) TimeOfDay(now time.Duration) (time.Duration, bool) {
	if a.made > 0 && now-a.made < medianAge {
		return now + a.beyond, true
	}
	a.made = 0
	maps.DeleteFunc(a.voices, func(_ string, v voice) bool { return now-v.heard > voiceAge })
	if len(a.voices) < leastVoices {
		return now + a.beyond, a.beyond != 0
	}
	all := make([]time.Duration, 0, len(a.voices))
	for _, v := range a.voices {
		all = append(all, v.beyond)
	}
	slices.Sort(all)
	a.beyond, a.made = all[(len(all)-1)/2], now
	return now + a.beyond, true
}
