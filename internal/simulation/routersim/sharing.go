package routersim

import (
	"time"

	"cresshub/internal/router/scheduler"
)

// shareSpan is how often proxies tell what they have under way.
const shareSpan = 25 * time.Millisecond

// sharer is a policy that hears what the other proxies have under way.
type sharer interface {
	Changes(all bool) []scheduler.Contribution
	Share(now time.Duration, others []scheduler.Contribution, whole bool)
	TakeNewPrompts() []scheduler.NewPrompts
	NoteNewPrompts(all []scheduler.NewPrompts)
	KnowHolders(now time.Duration)
}

// startSharing has the proxies tell each other, from the start to the end.
func (f *fleet) startSharing() {
	for _, p := range f.proxies {
		if s, ok := p.policy.(sharer); ok {
			s.KnowHolders(f.clock.now)
		}
	}
	for at := time.Duration(0); at < f.scenario.Length; at += shareSpan {
		f.clock.after(at, f.shareWork)
	}
}

// shareWork lets each proxy hear after a while what all others have under way now, and what they have sent to
// servers for the first time since the last call.
func (f *fleet) shareWork() {
	own := make([]map[string]scheduler.Contribution, len(f.proxies))
	prompts := make([][]scheduler.NewPrompts, len(f.proxies))
	sum := map[string]scheduler.Contribution{}
	for i, p := range f.proxies {
		s, ok := p.policy.(sharer)
		if !ok {
			return
		}
		own[i], prompts[i] = map[string]scheduler.Contribution{}, s.TakeNewPrompts()
		for _, one := range s.Changes(true) {
			own[i][one.Server] = one
			sum[one.Server] = plus(sum[one.Server], one, 1)
		}
	}
	f.clock.after(f.scenario.Shared, func() {
		for i, p := range f.proxies {
			f.hear(p.policy.(sharer), i, sum, own[i], prompts)
		}
	})
}

// hear tells one proxy the sum less its own part, and the others' prompts.
func (f *fleet) hear(s sharer, number int, sum, own map[string]scheduler.Contribution,
	prompts [][]scheduler.NewPrompts) {
	others := make([]scheduler.Contribution, 0, len(sum))
	for server, all := range sum {
		all.Server = server
		others = append(others, plus(all, own[server], -1))
	}
	s.Share(f.clock.now, others, true)
	for i, told := range prompts {
		if i != number {
			s.NoteNewPrompts(told)
		}
	}
}

// plus adds a contribution times a factor to another one.
func plus(to, one scheduler.Contribution, times int) scheduler.Contribution {
	to.Reading += time.Duration(times) * one.Reading
	to.Calls += times * one.Calls
	return to
}
