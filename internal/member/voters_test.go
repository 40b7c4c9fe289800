package member

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/bilberryferry/bilberryferry/replica"
)

// catchUpTime is how long an instance still counts as lost after its return.
const catchUpTime = 6 * time.Second

// memberIn returns a member that has just announced itself.
func memberIn(id, dataCentre string, isLearner bool) observedMember {
	return observedMember{Member: replica.Member{ID: id, DataCentre: dataCentre, Learner: isLearner}, announced: dataCentre}
}

// silentFor returns the member with a time since its last announcement.
func (m observedMember) silentFor(d time.Duration) observedMember {
	m.sinceSeen = d
	return m
}

// Guards against a data centre that gets a majority of the voters when another one is cut off: its loss
// would stop the log, and the loss of its disks would lose acknowledged commands.
func TestVotersOfCutDataCentreAreReplacedInSeveralOthers(t *testing.T) {
	p := &voterPlanner{self: "b1", voters: 5, members: []observedMember{
		memberIn("a1", "a", false).silentFor(3 * time.Second), memberIn("a2", "a", false).silentFor(3 * time.Second),
		memberIn("b1", "b", false), memberIn("c1", "c", false), memberIn("d1", "d", false),
		memberIn("e1", "e", true), memberIn("b2", "b", true), memberIn("b3", "b", true),
	}}
	p.applyAll(t)
	must.MapEq(t, map[string]int{"b": 2, "c": 1, "d": 1, "e": 1}, p.voterCounts())
}

// Guards against a first membership that stays in one data centre because all seeds are there.
func TestVotersOfSeedsInOneDataCentreAreSpread(t *testing.T) {
	p := &voterPlanner{self: "a1", voters: 5}
	for _, dataCentre := range []string{"a", "b", "c", "d", "e"} {
		for i := 1; i <= 3; i++ {
			p.members = append(p.members, memberIn(fmt.Sprint(dataCentre, i), dataCentre, dataCentre != "a"))
		}
	}
	for i := range 3 {
		p.members[i].DataCentre = ""
	}
	p.applyAll(t)
	must.MapEq(t, map[string]int{"a": 1, "b": 1, "c": 1, "d": 1, "e": 1}, p.voterCounts())
}

// Guards against a replacement that makes a data centre hold too many voters between two changes.
func TestSilentVoterIsRemovedFirstWhereItsDataCentreIsFull(t *testing.T) {
	p := &voterPlanner{self: "a1", voters: 3, members: []observedMember{
		memberIn("a1", "a", false), memberIn("b1", "b", false).silentFor(3 * time.Second), memberIn("c1", "c", false), memberIn("b2", "b", true),
	}}
	members, _ := p.next()
	must.Eq(t, []replica.Member{{ID: "a1", DataCentre: "a"}, {ID: "c1", DataCentre: "c"}, {ID: "b2", DataCentre: "b", Learner: true}}, members)
	p.applyAll(t)
	must.MapEq(t, map[string]int{"a": 1, "b": 1, "c": 1}, p.voterCounts())
}

// applyAll applies changes until none is due.
func (p *voterPlanner) applyAll(t *testing.T) {
	for range 100 {
		if !p.applyNext() {
			return
		}
	}
	t.Fatal("the changes don't end")
}

// applyNext applies the next change and reports whether one was due.
func (p *voterPlanner) applyNext() bool {
	next, _ := p.next()
	if next == nil {
		return false
	}
	byID := map[string]observedMember{}
	for _, m := range p.members {
		byID[m.ID] = m
	}
	p.members = nil
	for _, m := range next {
		observed := byID[m.ID]
		observed.Member = m
		p.members = append(p.members, observed)
	}
	return true
}

// instanceModel is a core instance of a voterModel.
type instanceModel struct {
	id, dataCentre string
	up             bool
	// changedAt is when it was last lost or returned.
	changedAt time.Duration
}

// voterModel plays losses and returns of instances against a voterPlanner.
type voterModel struct {
	voterPlanner
	tolerated   int
	now         time.Duration
	leaderSince time.Duration
	instances   []*instanceModel
}

func newVoterModel(t *rapid.T) *voterModel {
	m := &voterModel{tolerated: rapid.IntRange(1, 2).Draw(t, "tolerated")}
	m.voters = 2*m.tolerated + 1
	dataCentres := rapid.IntRange(3, 5).Draw(t, "dataCentres")
	for range rapid.IntRange(m.voters, 15).Draw(t, "instances") {
		dataCentre := fmt.Sprint("dc", len(m.instances)%dataCentres)
		m.instances = append(m.instances, &instanceModel{id: fmt.Sprint("i", len(m.instances)), dataCentre: dataCentre, up: true, changedAt: -catchUpTime})
	}
	for i := range 3 {
		seed := m.instances[(i*rapid.IntRange(1, 5).Draw(t, "step"))%len(m.instances)]
		if !slices.ContainsFunc(m.members, func(o observedMember) bool { return o.ID == seed.id }) {
			m.members = append(m.members, observedMember{Member: replica.Member{ID: seed.id}})
		}
	}
	m.self = m.members[0].ID
	return m
}

// step lets time pass for one check of the membership.
func (m *voterModel) step() {
	m.now += manageInterval
	m.elect()
	for _, instance := range m.instances {
		known := slices.ContainsFunc(m.members, func(o observedMember) bool { return o.ID == instance.id })
		if instance.up && !known {
			m.members = append(m.members, memberIn(instance.id, instance.dataCentre, true))
		}
	}
	for i := range m.members {
		o, instance := &m.members[i], m.instance(m.members[i].ID)
		o.sinceSeen, o.announced = 0, instance.dataCentre
		if !instance.up {
			o.sinceSeen = m.now - max(instance.changedAt, m.leaderSince)
		}
	}
	m.applyNext()
}

// elect makes another voter the leader if the leader is lost.
func (m *voterModel) elect() {
	if m.instance(m.self).up {
		return
	}
	for _, o := range m.members {
		if !o.Learner && m.instance(o.ID).up {
			m.self, m.leaderSince = o.ID, m.now
			return
		}
	}
}

func (m *voterModel) instance(id string) *instanceModel {
	return m.instances[slices.IndexFunc(m.instances, func(i *instanceModel) bool { return i.id == id })]
}

// setUp loses an instance or lets it return.
func (m *voterModel) setUp(i *instanceModel, up bool) {
	if i.up != up {
		i.up, i.changedAt = up, m.now
	}
}

// allRecovered reports whether no instance counts as lost.
func (m *voterModel) allRecovered() bool {
	return !slices.ContainsFunc(m.instances, func(i *instanceModel) bool { return !i.up || m.now-i.changedAt < catchUpTime })
}

// loseSome loses what the group has to tolerate at once: some instances, or a data centre.
func (m *voterModel) loseSome(t *rapid.T) {
	if rapid.Bool().Draw(t, "whole data centre") {
		dataCentre := rapid.SampledFrom(m.instances).Draw(t, "instance").dataCentre
		for _, i := range m.instances {
			if i.dataCentre == dataCentre {
				m.setUp(i, false)
			}
		}
		return
	}
	for range m.tolerated {
		m.setUp(rapid.SampledFrom(m.instances).Draw(t, "instance"), false)
	}
}

// check fails if no majority of the voters is left, or a data centre has more voters than may fail.
func (m *voterModel) check(t *rapid.T) {
	responsive := 0
	for _, o := range m.members {
		if !o.Learner && m.instance(o.ID).up {
			responsive++
		}
	}
	if total := m.countVoters(); 2*responsive <= total {
		t.Fatalf("%d of %d voters are left at %v: %+v", responsive, total, m.now, m.members)
	}
	for dataCentre, n := range m.voterCounts() {
		if n > m.tolerated {
			t.Fatalf("%s holds %d voters at %v, %d may fail: %+v", dataCentre, n, m.now, m.tolerated, m.members)
		}
	}
}

// settle lets time pass until no change is due, at most a minute.
func (m *voterModel) settle() {
	for range int(time.Minute / manageInterval) {
		m.step()
	}
}

// Guards against changes of voters that leave no majority after a loss that the group has to tolerate,
// in any order of losses and returns, and against an uneven spread that stays.
func TestMajorityOutlastsEveryToleratedLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newVoterModel(t)
		m.settle()
		for range rapid.IntRange(1, 12).Draw(t, "losses") {
			m.check(t)
			if m.allRecovered() {
				m.loseSome(t)
			}
			for range rapid.IntRange(0, 60).Draw(t, "steps while lost") {
				m.step()
				m.check(t)
			}
			for _, i := range m.instances {
				m.setUp(i, true)
			}
			for range rapid.IntRange(0, 60).Draw(t, "steps after the return") {
				m.step()
				m.check(t)
			}
		}
		m.settle()
		m.checkEven(t)
	})
}

// checkEven fails if moving a voter to another data centre would even out the spread.
func (m *voterModel) checkEven(t *rapid.T) {
	counts := m.voterCounts()
	for _, o := range m.members {
		for dataCentre, n := range counts {
			if o.Learner && counts[o.DataCentre]+2 <= n {
				t.Fatalf("%s holds %d voters, %s with a learner holds %d", dataCentre, n, o.DataCentre, counts[o.DataCentre])
			}
		}
	}
}
