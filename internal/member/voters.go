package member

import (
	"slices"
	"time"

	"github.com/bilberryferry/bilberryferry/replica"
)

// A voterPlanner chooses the next change of the membership. It keeps the number of voters
// and spreads them over the data centres, so that the loss of a whole data centre loses no
// more voters than may fail at the same time.
//
// A change alters one member. The planner promotes a replacement before it removes the voter
// that is replaced, so that the group tolerates as many losses meanwhile, unless the data
// centre of the replacement would then hold too many voters.
type voterPlanner struct {
	// self is the ID of the leader, which can't be removed or demoted.
	self string
	// voters is the number of voters once enough members have joined.
	voters  int
	members []observedMember
}

// observedMember is a member of the group as the leader sees it.
type observedMember struct {
	replica.Member
	// sinceSeen is the time since the member's last announcement to this leader.
	sinceSeen time.Duration
	// announced is the data centre that the member has announced; empty if it has announced
	// none to this leader.
	announced string
}

// none is the index of no member.
const none = -1

// next returns the next membership, which differs in one member, and a description of the
// change for the log. It returns nil when no change is due.
func (p *voterPlanner) next() ([]replica.Member, string) {
	counts := p.voterCounts()
	votersNow, silent := p.countVoters(), p.crowdedVoter(counts, p.isSilentVoter)
	if i := p.unrecordedDataCentre(); i != none {
		return p.change(i, "recorded the data centre of", func(m *replica.Member) { m.DataCentre = p.members[i].announced })
	}
	switch {
	case votersNow > p.voters && silent != none:
		return p.remove(silent)
	case votersNow > p.voters:
		return p.demoteFromMostCrowded(counts)
	case votersNow < p.voters:
		if i := p.bestLearner(counts); i != none {
			return p.promote(i)
		}
	case silent != none:
		if members, change := p.replace(silent, counts); members != nil {
			return members, change
		}
	default:
		if members, change := p.rebalance(counts); members != nil {
			return members, change
		}
	}
	if i := slices.IndexFunc(p.members, isStaleLearner); i != none {
		return p.remove(i)
	}
	return nil, ""
}

// replace promotes a learner in place of a silent voter, or removes that voter first if the
// learner's data centre holds as many voters as it may.
func (p *voterPlanner) replace(silent int, counts map[string]int) ([]replica.Member, string) {
	counts[p.members[silent].DataCentre]--
	learner := p.bestLearner(counts)
	counts[p.members[silent].DataCentre]++
	switch {
	case learner == none:
		return nil, ""
	case counts[p.members[learner].DataCentre] >= p.maxPerDataCentre():
		return p.remove(silent)
	}
	return p.promote(learner)
}

// rebalance promotes a learner whose data centre holds at least two voters fewer than
// another one. As there is one voter too many then, the next change demotes a voter there.
func (p *voterPlanner) rebalance(counts map[string]int) ([]replica.Member, string) {
	learner, crowded := p.bestLearner(counts), p.crowdedVoter(counts, p.isDemotable)
	if learner == none || crowded == none {
		return nil, ""
	}
	if counts[p.members[learner].DataCentre]+2 > counts[p.members[crowded].DataCentre] {
		return nil, ""
	}
	return p.promote(learner)
}

// demoteFromMostCrowded makes a voter of the data centre with the most voters a learner.
func (p *voterPlanner) demoteFromMostCrowded(counts map[string]int) ([]replica.Member, string) {
	i := p.crowdedVoter(counts, p.isDemotable)
	if i == none {
		return nil, ""
	}
	return p.change(i, "demoted", func(m *replica.Member) { m.Learner = true })
}

// maxPerDataCentre returns how many voters a data centre may hold: as many as may fail with
// a majority left. Voters in two data centres can't keep that bound and are divided evenly;
// in a single one there is no bound.
func (p *voterPlanner) maxPerDataCentre() int {
	dataCentres := map[string]bool{}
	for i := range p.members {
		dataCentres[p.members[i].DataCentre] = true
	}
	if len(dataCentres) == 1 {
		return len(p.members)
	}
	evenShare := (p.voters + len(dataCentres) - 1) / len(dataCentres)
	return max((p.voters-1)/2, evenShare)
}

// bestLearner returns the responsive learner whose data centre holds the fewest voters, and
// none if each such data centre holds as many as it may.
func (p *voterPlanner) bestLearner(counts map[string]int) int {
	best, limit := none, p.maxPerDataCentre()
	for i := range p.members {
		m := &p.members[i]
		if !m.Learner || m.sinceSeen >= unresponsiveAfter || counts[m.DataCentre] >= limit {
			continue
		}
		if best == none || counts[m.DataCentre] < counts[p.members[best].DataCentre] {
			best = i
		}
	}
	return best
}

// crowdedVoter returns the member for which eligible is true and whose data centre holds the
// most voters.
func (p *voterPlanner) crowdedVoter(counts map[string]int, eligible func(*observedMember) bool) int {
	best := none
	for i := range p.members {
		if !eligible(&p.members[i]) {
			continue
		}
		if best == none || counts[p.members[i].DataCentre] > counts[p.members[best].DataCentre] {
			best = i
		}
	}
	return best
}

func (p *voterPlanner) isSilentVoter(m *observedMember) bool {
	return !m.Learner && m.ID != p.self && m.sinceSeen > unresponsiveAfter
}

func (p *voterPlanner) isDemotable(m *observedMember) bool { return !m.Learner && m.ID != p.self }

func isStaleLearner(m observedMember) bool { return m.Learner && m.sinceSeen > learnerRemovalDelay }

// unrecordedDataCentre returns a member that has announced another data centre than the
// membership has. The seeds know only each other's addresses, so the first membership has no
// data centres.
func (p *voterPlanner) unrecordedDataCentre() int {
	return slices.IndexFunc(p.members, func(m observedMember) bool {
		return m.announced != "" && m.announced != m.DataCentre
	})
}

// voterCounts counts the voters of each data centre.
func (p *voterPlanner) voterCounts() map[string]int {
	counts := map[string]int{}
	for i := range p.members {
		if !p.members[i].Learner {
			counts[p.members[i].DataCentre]++
		}
	}
	return counts
}

func (p *voterPlanner) countVoters() int {
	total := 0
	for i := range p.members {
		if !p.members[i].Learner {
			total++
		}
	}
	return total
}

func (p *voterPlanner) promote(i int) ([]replica.Member, string) {
	return p.change(i, "promoted", func(m *replica.Member) { m.Learner = false })
}

// remove returns the membership without a member.
func (p *voterPlanner) remove(i int) ([]replica.Member, string) {
	members := p.membership()
	return slices.Delete(members, i, i+1), "removed " + p.members[i].ID
}

// change returns the membership with one member altered.
func (p *voterPlanner) change(i int, verb string, alter func(*replica.Member)) ([]replica.Member, string) {
	members := p.membership()
	alter(&members[i])
	return members, verb + " " + members[i].ID
}

// membership returns a copy of the current membership.
func (p *voterPlanner) membership() []replica.Member {
	members := make([]replica.Member, len(p.members))
	for i := range p.members {
		members[i] = p.members[i].Member
	}
	return members
}
