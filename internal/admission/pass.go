package admission

// Pass goes through the waiting requests once while free slots are assigned. Each
// request that Next returns is served, removed or skipped before the next call.
type Pass[T any] struct {
	q      *Queue[T]
	number uint64
	from   *Class // this and less urgent classes are skipped
	kinds  [kinds]bool
}

// Pass starts a pass.
func (q *Queue[T]) Pass() *Pass[T] {
	q.passes++
	return &Pass[T]{q: q, number: q.passes}
}

// Skip leaves out one request.
func (p *Pass[T]) Skip(it *Item[T]) { it.skipped = p.number }

// SkipKind leaves out the first attempts of a kind, whatever their class.
func (p *Pass[T]) SkipKind(k Kind) { p.kinds[k] = true }

// SkipLevel leaves out the first attempts of the class and kind of a request.
func (p *Pass[T]) SkipLevel(it *Item[T]) { it.class.levels[it.Kind].skipped = p.number }

// SkipFrom leaves out all requests of a class and of less urgent ones.
func (p *Pass[T]) SkipFrom(c Class) { p.from = &c }

// Next returns the request that is served next, or nil if there is none. due is set
// if the request goes before others because its class or account is due for its
// minimum share.
func (p *Pass[T]) Next() (it *Item[T], due bool) {
	if p.q.length == 0 {
		return nil, false
	}
	if it := p.nextDue(); it != nil {
		return it, true
	}
	for _, c := range p.q.classes {
		if p.skips(c) {
			break
		}
		if it := p.best(c); it != nil {
			return it, false
		}
	}
	return nil, false
}

// nextDue returns the next request of a class or an account that is due for its
// minimum share.
func (p *Pass[T]) nextDue() *Item[T] {
	q := p.q
	if q.order != LeastService {
		return nil
	}
	for _, c := range q.classes {
		if p.skips(c) {
			break
		}
		if c.waiting > 0 && c.minimum.due <= q.classTime {
			if it := p.best(c); it != nil {
				return it
			}
		}
	}
	if len(q.backlogged) == 0 || q.backlogged[0].minimum.due > q.accountTime {
		return nil
	}
	// Others that are due could only use the same slots if it is skipped.
	var first *flow[T]
	for _, f := range q.backlogged[0].flows {
		if !p.skips(f.class) && !p.skipsLevel(f.class, f.kind) && (first == nil || f.class.Compare(first.class.Class) < 0) {
			first = f
		}
	}
	if first == nil || first.head().skipped == p.number {
		return nil
	}
	return first.head()
}

func (p *Pass[T]) skips(c *class[T]) bool { return p.from != nil && c.Compare(*p.from) >= 0 }

func (p *Pass[T]) skipsLevel(c *class[T], k Kind) bool {
	return p.kinds[k] || c.levels[k].skipped == p.number
}

// best returns the next request of a class.
func (p *Pass[T]) best(c *class[T]) *Item[T] {
	for e := c.retries.Front(); e != nil; e = e.Next() {
		if it := e.Value.(*Item[T]); it.skipped != p.number {
			return it
		}
	}
	var first *flow[T]
	for k := range c.levels {
		l := &c.levels[k]
		if len(l.flows) == 0 || p.skipsLevel(c, Kind(k)) {
			continue
		}
		if f := l.flows[0]; f.head().skipped != p.number && (first == nil || f.compare(first, p.q.order) < 0) {
			first = f
		}
	}
	if first == nil {
		return nil
	}
	return first.head()
}
