package flows_test

import (
	"testing"
	"time"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/control/dispatch"
	"gypsumreel/internal/control/flows"
	"gypsumreel/internal/control/leader"
)

// fakeHost is a control thread that runs what is posted at once.
type fakeHost struct {
	dispatch.Host
	postCount int
}

func (t *fakeHost) Post(fn func()) bool {
	t.postCount++
	fn()
	return true
}

// A follower that forgets who greets it has no helpers when it is elected.
func TestFollowerRegistersGreetingProcess(t *testing.T) {
	host := &fakeHost{}
	d := dispatch.New()
	d.Host, d.Now = host, func() time.Duration { return time.Hour }
	s := &flows.Server{Leader: leader.New(), Dispatcher: d}
	w, err := s.Greet(t.Context(), &inner.Greeting{Address: "entry"})
	if err != nil || w.GetLeads() || host.postCount != 1 {
		t.Errorf("%v, %v, %d greetings kept", w, err, host.postCount)
	}
}
