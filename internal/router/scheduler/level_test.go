package scheduler

import (
	"math"
	"testing"
	"time"

	"cresshub/internal/router/catalog"

	qt "github.com/frankban/quicktest"
)

func testServer(others float64, toldAt time.Duration) *server {
	s := newServer(0, &catalog.Server{ID: "a", Slots: 10, Stage: catalog.Writing})
	s.others, s.toldAt, s.known, s.usual = others, toldAt, true, mean{others, 1}
	return s
}

func TestOthersDecayTowardsTheUsualLoad(t *testing.T) {
	const service, parallel, average = 100.0, 1.0, 2.0
	usual := (average*usualPrior + 8*1) / (usualPrior + 1)
	tau := decayTimes * (1 + 8.0) * service
	tests := []struct {
		age  time.Duration
		want float64
	}{
		{0, 8},
		{duration(tau), usual + (8-usual)/math.E},
		{duration(2 * tau), usual + (8-usual)/math.E/math.E},
		{time.Hour, usual},
	}
	for _, test := range tests {
		t.Run(test.age.String(), func(t *testing.T) {
			got := testServer(8, second).othersNow(second+test.age, average, parallel, service)
			qt.Check(t, got, near, test.want, 1e-6)
		})
	}
}

func TestServerWithoutFigureHasTheMeanOfTheOthers(t *testing.T) {
	c := qt.New(t)
	unknown := newServer(0, &catalog.Server{ID: "b"})
	all := []*server{testServer(2, 0), testServer(4, 0), unknown}
	c.Check(meanOthers(all), qt.Equals, 3.0)
	c.Check(unknown.othersNow(second, meanOthers(all), 1, 100), qt.Equals, 3.0)
	c.Check(meanOthers([]*server{unknown}), qt.Equals, 0.0)
}

func TestOwnCallsAreCountedOnce(t *testing.T) {
	c := qt.New(t)
	s := testServer(0, 0)
	early, late := &Call{started: second}, &Call{started: 3 * second}
	s.begin(early)
	s.begin(late)
	s.tell(2*second, Load{Running: 3, Waiting: 1, Slots: 10})
	c.Check(s.others, qt.Equals, 3.0, qt.Commentf("four told, one of them this proxy's"))
	s.tell(4*second, Load{Running: 1, Slots: 10})
	c.Check(s.others, qt.Equals, 0.0, qt.Commentf("fewer told than this proxy has"))
	s.tell(3*second, Load{Running: 9, Slots: 10})
	c.Check(s.others, qt.Equals, 0.0, qt.Commentf("an older figure"))
	s.end(5*second, early)
	c.Check(s.calls, qt.HasLen, 1)
}

func TestOwnReadingDrainsWhileItRuns(t *testing.T) {
	s := testServer(0, 0)
	first, second, third := &Call{readWork: 100}, &Call{readWork: 200}, &Call{readWork: 100}
	for _, call := range []*Call{first, second, third} {
		s.begin(call)
	}
	tests := []struct {
		name  string
		now   time.Duration
		ended *Call
		want  float64
	}{
		{"at once", 0, nil, 400},
		{"after a while", 60 * time.Millisecond, nil, 340},
		{"no less than a quarter", 900 * time.Millisecond, nil, 100},
		{"one has ended", time.Second, first, 300},
		{"the next runs", 1100 * time.Millisecond, nil, 200},
		{"it has ended", 1200 * time.Millisecond, second, 100},
		{"all have ended", 1300 * time.Millisecond, third, 0},
		{"long after", time.Minute, nil, 0},
	}
	for _, test := range tests {
		if test.ended != nil {
			s.end(test.now, test.ended)
		}
		qt.Check(t, s.readingLeft(test.now), near, test.want, 1e-6, qt.Commentf(test.name))
	}
}

func TestLevels(t *testing.T) {
	p := newPool(modelService())
	p.read, p.pace = newFit(10, 0.02, 1000, 1), newFit(5, 0.5, 10, 1)
	p.tokens, p.output = mean{2000, 1}, mean{20, 1}
	const now = second
	reading, running := testServer(2, now), testServer(4, now)
	late, direct := testServer(0, now), testServer(0, now)
	reading.begin(&Call{readWork: 80, started: now})
	reading.readAt = now
	running.begin(&Call{started: now})
	late.late = lateness{50, now}
	direct.begin(&Call{readWork: 70, started: now})
	direct.readAt = now
	tests := []struct {
		name string
		role Role
		s    *server
		want float64
	}{
		{"read: own tokens and others' calls", Read, reading, 80 + 2*(10+0.02*2000)},
		{"write: calls over slots, each as slow as they are many", Write, running, 20 * (5 + 0.5*5) * 5 / 10},
		{"write: lateness", Write, late, 50},
		{"write: prompts read there do not count", Write, direct, 20 * (5 + 0.5*1) / 10},
		{"serve: prompts read there do", Serve, direct, 70 + 20*(5+0.5*1)/10},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := candidate{server: test.s}
			p.measure(now, test.role, 0, &x)
			qt.Check(t, x.queue, near, test.want, 1e-6)
		})
	}
}

func TestLevelsOfServersWithoutModel(t *testing.T) {
	p := newPool(plainService())
	p.serve = mean{40, 1}
	x := candidate{server: testServer(5, second)}
	p.measure(second, Serve, 0, &x)
	qt.Check(t, x.queue, near, 40.0*5/10, 1e-6)
}

func TestDirectPromptsOfOtherProxies(t *testing.T) {
	p := newPool(modelService())
	p.directLeft, p.directCalls = mean{30, 1}, mean{0.5, 1}
	tests := []struct{ others, want float64 }{{0, 0}, {0.5, 30}, {4.5, 270}}
	for _, test := range tests {
		qt.Check(t, p.othersDirect(test.others), near, test.want, 1e-6)
	}
}

func TestMoveTime(t *testing.T) {
	tests := []struct {
		name     string
		tokens   int
		between  bool
		megabits float64
		want     float64
	}{
		{"within a zone", 5000, false, 100000, 8},
		{"between zones", 5000, true, 100000, 16},
		{"unknown links", 5000, true, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			service := modelService()
			service.Engine.LinkMbps = test.megabits
			qt.Check(t, newPool(service).moveTime(test.tokens, test.between), near, test.want, 1e-6)
		})
	}
}

func TestFullServers(t *testing.T) {
	const service = 100.0
	told := func(busy float64, age time.Duration) *candidate {
		return &candidate{server: testServer(busy, 10*second-age)}
	}
	rejecting := told(0, 0)
	rejecting.trust.full = 10*second + 1
	own := &candidate{server: newServer(0, &catalog.Server{ID: "a", Slots: 1})}
	own.begin(&Call{})
	tests := []struct {
		name string
		c    *candidate
		want bool
	}{
		{"free", told(9, 0), false},
		{"full just now", told(10, 90*time.Millisecond), true},
		{"full long ago", told(10, 5*second), false},
		{"it has just rejected a request", rejecting, true},
		{"own calls take all slots", own, true},
	}
	for _, test := range tests {
		qt.Check(t, test.c.full(10*second, service), qt.Equals, test.want, qt.Commentf(test.name))
	}
}

func TestWeights(t *testing.T) {
	tests := []struct {
		name string
		s    *server
		now  time.Duration
		want float64
	}{
		{"long known", &server{speed: 1.5}, time.Minute, 1.5},
		{"just listed", &server{speed: 1, listed: time.Minute}, time.Minute, newShare},
		{"half way", &server{speed: 1, listed: time.Minute}, time.Minute + slowStart/2, (1 + newShare) / 2},
		{"cold", &server{speed: 1, warm: 2 * time.Minute}, time.Minute, coldShare},
	}
	for _, test := range tests {
		qt.Check(t, test.s.weight(test.now), near, test.want, 1e-6, qt.Commentf(test.name))
	}
}
