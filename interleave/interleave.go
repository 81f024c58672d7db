// Package interleave takes every order of a small scene's choices (design.md
// section 8.3). A scene is deterministic but for the choices it asks for; it is
// run from its start for each course.
package interleave

// Choices is one course through a scene.
type Choices struct {
	taken  []int
	widths []int
	at     int
}

// Pick chooses one of n ways to go on.
func (c *Choices) Pick(n int) int {
	if n <= 0 {
		panic("interleave: nothing to choose from")
	}
	if c.at == len(c.taken) {
		c.taken = append(c.taken, 0)
		c.widths = append(c.widths, n)
	}
	if c.widths[c.at] != n {
		panic("interleave: the scene is not deterministic")
	}
	chosen := c.taken[c.at]
	c.at++
	return chosen
}

// Explore runs a scene for every course, up to a limit of courses, and collects
// what its check complains of. All is true when no course was left out.
func Explore(limit int, scene func(c *Choices) string) (courses int, bad map[string]int, all bool) {
	bad = map[string]int{}
	c := &Choices{}
	for {
		c.at = 0
		if why := scene(c); why != "" {
			bad[why]++
		}
		courses++
		if courses == limit {
			return courses, bad, false
		}
		// The next course: the last choice that has another way, one further.
		c.taken, c.widths = c.taken[:c.at], c.widths[:c.at]
		for len(c.taken) > 0 && c.taken[len(c.taken)-1]+1 == c.widths[len(c.widths)-1] {
			c.taken, c.widths = c.taken[:len(c.taken)-1], c.widths[:len(c.widths)-1]
		}
		if len(c.taken) == 0 {
			return courses, bad, true
		}
		c.taken[len(c.taken)-1]++
	}
}

// Threads runs steps of several threads in an order that the choices give.
func Threads(c *Choices, threads ...[]func()) {
	for {
		var ready []int
		for i := range threads {
			if len(threads[i]) > 0 {
				ready = append(ready, i)
			}
		}
		if len(ready) == 0 {
			return
		}
		i := ready[c.Pick(len(ready))]
		step := threads[i][0]
		threads[i] = threads[i][1:]
		step()
	}
}
