// Package workerindex orders the workers of large pools by their free resources, so that a
// decision about a few steps looks at a few of the workers. It is kept up to date by events:
// the caller sets a worker whenever its resources change.
//
// The workers of a service that have a label in common, are of one size and of one speed form
// a class, and those without regard to labels form others. A selection takes workers of each
// class that a step may use, so that each size and speed is represented however few workers
// have it, and a rare label is found without looking at other workers.
package workerindex

import (
	"cmp"
	"slices"

	"github.com/tidwall/btree"

	"github.com/bilberryferry/bilberryferry/resource"
	"github.com/bilberryferry/bilberryferry/speed"
)

// Worker is a worker that accepts new tasks.
type Worker struct {
	ID, Service, Rack string
	// Labels are the labels that steps may require.
	Labels []string
	// Capacity is what the worker has, Free what no run occupies.
	Capacity, Free resource.Amount
	SpeedClass     speed.Class
}

// Requirement says which workers a step may use.
type Requirement struct {
	Service string
	// Label is a label that the worker must have; empty for any worker.
	Label string
	// Rack is the rack of the step's data, whose workers are selected as well; empty for none.
	Rack string
	// Demand is what one task occupies.
	Demand resource.Amount
}

// Index holds the workers that accept new tasks. The zero value isn't usable; see New. It isn't
// safe for concurrent use.
type Index struct {
	workers map[string]*indexedWorker
	groups  map[groupKey]*group
	racks   map[string]map[string]*indexedWorker
}

// indexedWorker is a worker with its classes, one for each label and one for no label.
type indexedWorker struct {
	Worker
	classes []*class
}

// groupKey identifies the workers of a service with a label; an empty label stands for all.
type groupKey struct{ service, label string }

// group holds the classes of workers of one service and label, ordered by classKey.compare.
type group struct {
	key     groupKey
	classes []*class
}

// classKey tells the classes of a group apart.
type classKey struct {
	capacity   resource.Amount
	speedClass speed.Class
}

// class holds the workers of a class, ordered by lessFree.
type class struct {
	key     classKey
	group   *group
	workers *btree.BTreeG[*indexedWorker]
}

// New returns an index without workers.
func New() *Index {
	return &Index{workers: map[string]*indexedWorker{}, groups: map[groupKey]*group{}, racks: map[string]map[string]*indexedWorker{}}
}

// Len returns the number of workers.
func (x *Index) Len() int { return len(x.workers) }

// Has reports whether the index holds a worker.
func (x *Index) Has(id string) bool { return x.workers[id] != nil }

// Set adds a worker or updates it.
func (x *Index) Set(w Worker) {
	if old := x.workers[w.ID]; old != nil && old.equal(&w) {
		return
	}
	x.Remove(w.ID)
	indexed := &indexedWorker{Worker: w}
	x.workers[w.ID] = indexed
	x.addToClass(indexed, "")
	for _, label := range w.Labels {
		x.addToClass(indexed, label)
	}
	if x.racks[w.Rack] == nil {
		x.racks[w.Rack] = map[string]*indexedWorker{}
	}
	x.racks[w.Rack][w.ID] = indexed
}

// equal reports whether setting w would change nothing.
func (old *indexedWorker) equal(w *Worker) bool {
	return old.Free == w.Free && old.Capacity == w.Capacity && old.SpeedClass == w.SpeedClass &&
		old.Service == w.Service && old.Rack == w.Rack && slices.Equal(old.Labels, w.Labels)
}

// addToClass adds a worker to its class among the workers with a label.
func (x *Index) addToClass(w *indexedWorker, label string) {
	key := groupKey{w.Service, label}
	g := x.groups[key]
	if g == nil {
		g = &group{key: key}
		x.groups[key] = g
	}
	c := g.classOf(classKey{w.Capacity, w.SpeedClass})
	if _, present := c.workers.Get(w); present {
		return
	}
	c.workers.Set(w)
	w.classes = append(w.classes, c)
}

// classOf returns the class with a key, and adds it if there is none.
func (g *group) classOf(key classKey) *class {
	position, found := slices.BinarySearchFunc(g.classes, key, func(c *class, key classKey) int { return c.key.compare(key) })
	if !found {
		c := &class{key: key, group: g, workers: btree.NewBTreeGOptions(lessFree, btree.Options{NoLocks: true})}
		g.classes = slices.Insert(g.classes, position, c)
	}
	return g.classes[position]
}

// Remove removes a worker; it does nothing if the index lacks it.
func (x *Index) Remove(id string) {
	w := x.workers[id]
	if w == nil {
		return
	}
	delete(x.workers, id)
	for _, c := range w.classes {
		c.workers.Delete(w)
		if c.workers.Len() == 0 {
			x.removeClass(c)
		}
	}
	delete(x.racks[w.Rack], id)
	if len(x.racks[w.Rack]) == 0 {
		delete(x.racks, w.Rack)
	}
}

func (x *Index) removeClass(c *class) {
	g := c.group
	g.classes = slices.DeleteFunc(g.classes, func(other *class) bool { return other == c })
	if len(g.classes) == 0 {
		delete(x.groups, g.key)
	}
}

// compare orders classes by speed and size.
func (k classKey) compare(other classKey) int {
	return cmp.Or(cmp.Compare(k.speedClass, other.speedClass), cmp.Compare(k.capacity.MilliCPU, other.capacity.MilliCPU),
		cmp.Compare(k.capacity.MemoryMB, other.capacity.MemoryMB), cmp.Compare(k.capacity.Accelerators, other.capacity.Accelerators))
}

// lessFree puts workers with more free CPU first, then those with more free memory.
func lessFree(a, b *indexedWorker) bool {
	return cmp.Or(cmp.Compare(b.Free.MilliCPU, a.Free.MilliCPU), cmp.Compare(b.Free.MemoryMB, a.Free.MemoryMB), cmp.Compare(a.ID, b.ID)) < 0
}

// admitting returns the classes whose workers may run a task of the requirement, and the
// number of these workers.
func (x *Index) admitting(r *Requirement) (classes []*class, workers int) {
	g := x.groups[groupKey{r.Service, r.Label}]
	if g == nil {
		return nil, 0
	}
	for _, c := range g.classes {
		if r.Demand.Fits(c.key.capacity) {
			classes = append(classes, c)
			workers += c.workers.Len()
		}
	}
	return classes, workers
}

// admits reports whether a worker may run a task of the requirement.
func (r *Requirement) admits(w *indexedWorker) bool {
	return w.Service == r.Service && (r.Label == "" || slices.Contains(w.Labels, r.Label)) && r.Demand.Fits(w.Capacity)
}

const (
	// minPerClass is the least number of workers selected of a class that has as many.
	minPerClass = 16
	// scanFactor is the multiple of the wanted workers that a selection looks at, at most, to
	// find those on which a task fits.
	scanFactor = 4
	// maxPerRack bounds the workers selected because they are in the rack of the data.
	maxPerRack = 64
)

// MostFree calls add with the IDs of about n workers that meet the requirement and for which
// skip is false: of each class its share, those with the most free CPU first. Workers on which a
// task fits precede others. Workers in the rack of the data come in addition.
func (x *Index) MostFree(r Requirement, n int, skip func(id string) bool, add func(id string)) {
	classes, total := x.admitting(&r)
	for _, c := range classes {
		c.mostFree(&r, max(minPerClass, n*c.workers.Len()/total), skip, add)
	}
	x.inRack(&r, skip, add)
}

// mostFree adds up to n workers of the class. After those on which a task fits it adds others:
// a step may have to know whether it may run there before there is room.
func (c *class) mostFree(r *Requirement, n int, skip func(id string) bool, add func(id string)) {
	var full []string
	fits, scanned := 0, 0
	c.workers.Scan(func(w *indexedWorker) bool {
		if skip(w.ID) {
			return true
		}
		scanned++
		if r.Demand.Fits(w.Free) {
			fits++
			add(w.ID)
		} else if len(full) < n {
			full = append(full, w.ID)
		}
		return fits < n && scanned < scanFactor*n
	})
	for _, id := range full[:max(0, min(len(full), n-fits))] {
		add(id)
	}
}

// LeastFree calls add with the IDs of about n workers that meet the requirement, on which a task
// fits and for which skip is false: of each class its share, those with the least free CPU first.
func (x *Index) LeastFree(r Requirement, n int, skip func(id string) bool, add func(id string)) {
	classes, total := x.admitting(&r)
	for _, c := range classes {
		left, scanned := max(minPerClass, n*c.workers.Len()/total), 0
		limit := scanFactor * left
		// The least of the workers with enough CPU. No worker precedes it among those with as
		// much, since memory can't be negative.
		pivot := &indexedWorker{Worker: Worker{Free: resource.Amount{MilliCPU: r.Demand.MilliCPU, MemoryMB: -1}}}
		c.workers.Descend(pivot, func(w *indexedWorker) bool {
			scanned++
			if !skip(w.ID) && r.Demand.Fits(w.Free) {
				left--
				add(w.ID)
			}
			return left > 0 && scanned < limit
		})
	}
}

// inRack adds workers in the rack of the data.
func (x *Index) inRack(r *Requirement, skip func(id string) bool, add func(id string)) {
	if r.Rack == "" {
		return
	}
	var ids []string
	for id, w := range x.racks[r.Rack] {
		if r.admits(w) && !skip(id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids[:min(len(ids), maxPerRack)] {
		add(id)
	}
}

// Free returns the free resources of a worker as last set, none if the index lacks it.
func (x *Index) Free(id string) resource.Amount {
	if w := x.workers[id]; w != nil {
		return w.Worker.Free
	}
	return resource.Amount{}
}
