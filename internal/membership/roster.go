// The roster and its changes.

package membership

import (
	"slices"
	"time"
)

type past struct {
	epoch  Epoch
	roster []string
}

// delta is what makes one roster of another.
type delta struct {
	Add []string `json:"a,omitempty"`
	Del []string `json:"d,omitempty"`
}

func diff(from, to []string) *delta {
	d := &delta{}
	for len(from) > 0 || len(to) > 0 {
		switch {
		case len(from) == 0 || len(to) > 0 && to[0] < from[0]:
			d.Add, to = append(d.Add, to[0]), to[1:]
		case len(to) == 0 || from[0] < to[0]:
			d.Del, from = append(d.Del, from[0]), from[1:]
		default:
			from, to = from[1:], to[1:]
		}
	}
	return d
}

func (d *delta) apply(roster []string) []string {
	next := slices.DeleteFunc(slices.Concat(roster, d.Add), func(name string) bool { return slices.Contains(d.Del, name) })
	slices.Sort(next)
	return next
}

// misses notes the first members of the roster that this process does not see.
func (c *council) misses() {
	c.missed = nil
	for _, name := range c.roster {
		if !c.lives(name) && len(c.missed) < mostNamed {
			c.missed = append(c.missed, name)
		}
	}
}

// tell puts the roster into a message, for one that has that of another epoch.
func (c *council) tell(m *message, has Epoch) {
	for _, p := range c.past {
		if p.epoch == has {
			m.Base, m.Next = has, diff(p.roster, c.roster)
			if c.prev != nil {
				m.Last = diff(p.roster, c.prev)
			}
			return
		}
	}
	m.Roster, m.Prev = c.roster, c.prev
}

// change makes the next roster, if it is another. It is as near to what it should be as one change may bring it.
func (c *council) change(now time.Duration) {
	moved := 0
	next := make([]string, 0, len(c.roster)+1)
	for _, name := range c.roster {
		since, lost := c.gone[name]
		if (c.left[name] || lost && now-since >= forget) && moved < mostMoved {
			moved += len(name)
			continue
		}
		next = append(next, name)
	}
	for name, since := range c.live {
		if _, in := slices.BinarySearch(c.roster, name); !in && now-since >= settle && !c.left[name] && len(next) < mostRost && moved < mostMoved {
			moved += len(name)
			next = append(next, name)
		}
	}
	slices.Sort(next)
	if !slices.Equal(next, c.roster) || c.epoch.Number == 0 {
		old := c.roster
		c.enter(Epoch{c.epoch.Number + 1, c.self}, next, old)
	}
}

// enter takes a newer roster.
func (c *council) enter(e Epoch, roster, prev []string) {
	if c.epoch.Number > 0 { // the first one is each process's own seeds
		c.past = append(c.past, past{c.epoch, c.roster})
		c.past = c.past[max(0, len(c.past)-mostPast):]
	}
	c.epoch, c.roster, c.prev = e, roster, prev
	c.misses()
}

// proper says that a roster's names are in order, each there once, and not too many.
func proper(roster []string) bool {
	for i, name := range roster {
		if name == "" || i > 0 && name <= roster[i-1] {
			return false
		}
	}
	return len(roster) <= mostRost
}

// adopt takes over a newer roster.
func (c *council) adopt(m message) {
	if m.Epoch.compare(c.epoch) <= 0 {
		return
	}
	if m.Next != nil && m.Base == c.epoch {
		m.Roster = m.Next.apply(c.roster)
		if m.Last != nil {
			m.Prev = m.Last.apply(c.roster)
		}
	}
	if len(m.Roster) == 0 || !proper(m.Roster) || !proper(m.Prev) {
		return
	}
	c.enter(m.Epoch, m.Roster, m.Prev)
	c.gone = map[string]time.Duration{}
}
