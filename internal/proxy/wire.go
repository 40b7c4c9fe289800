package proxy

import (
	"time"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/routing"
)

// AnnouncementFromWire converts a minion's announcement from its message.
func AnnouncementFromWire(a *apiv1.AnnounceRequest) routing.Announcement {
	return routing.Announcement{
		Minion:         a.GetMinion(),
		Service:        a.GetService(),
		Address:        a.GetAddress(),
		Slots:          int(a.GetSlots()),
		MaxConnections: int(a.GetMaxConnections()),
		Incarnation:    a.GetIncarnation(),
		Leaving:        a.GetLeaving(),
	}
}

func announcementToWire(a routing.Announcement) *apiv1.AnnounceRequest {
	return &apiv1.AnnounceRequest{
		Minion:         a.Minion,
		Service:        a.Service,
		Address:        a.Address,
		Slots:          int32(a.Slots),
		MaxConnections: int32(a.MaxConnections),
		Incarnation:    a.Incarnation,
		Leaving:        a.Leaving,
	}
}

// SlotRequestToWire converts a slot request to its message.
func SlotRequestToWire(r routing.SlotRequest) *apiv1.ShareSlotsRequest {
	w := &apiv1.ShareSlotsRequest{
		Entry:       r.Entry,
		Incarnation: r.Incarnation,
		Sequence:    r.Sequence,
		Term:        r.Term,
		Adopted:     r.Adopted,
		Full:        r.Full,
		Alive:       r.Alive,
		HandBack:    r.ReleaseAll,
	}
	for _, d := range r.Demands {
		w.Services = append(w.Services, &apiv1.ServiceDemand{Service: d.Service, Wanted: int32(d.Wanted)})
	}
	for _, u := range r.Loads {
		w.UsedMinions = append(w.UsedMinions, u.Number)
		w.UsedSlots = append(w.UsedSlots, uint32(u.InFlight))
	}
	for _, c := range r.Claims {
		w.Demands = append(w.Demands, &apiv1.SlotDemand{
			Service:    c.Service,
			Minion:     c.Minion,
			Held:       int32(c.Held),
			InProgress: int32(c.InFlight),
		})
	}
	for _, a := range r.Announcements {
		w.Announcements = append(w.Announcements, announcementToWire(a))
	}
	return w
}

// SlotRequestFromWire converts a slot request from its message.
func SlotRequestFromWire(w *apiv1.ShareSlotsRequest) routing.SlotRequest {
	r := routing.SlotRequest{
		Entry:       w.GetEntry(),
		Incarnation: w.GetIncarnation(),
		Sequence:    w.GetSequence(),
		Term:        w.GetTerm(),
		Adopted:     w.GetAdopted(),
		Full:        w.GetFull(),
		Alive:       w.GetAlive(),
		ReleaseAll:  w.GetHandBack(),
	}
	for _, d := range w.GetServices() {
		r.Demands = append(r.Demands, routing.ServiceDemand{Service: d.GetService(), Wanted: nonNegative(d.GetWanted())})
	}
	for i, number := range w.GetUsedMinions() {
		if i < len(w.GetUsedSlots()) {
			r.Loads = append(r.Loads, routing.MinionLoad{Number: number, InFlight: int(w.GetUsedSlots()[i])})
		}
	}
	for _, d := range w.GetDemands() {
		r.Claims = append(r.Claims, routing.Claim{
			Minion:   d.GetMinion(),
			Service:  d.GetService(),
			Held:     nonNegative(d.GetHeld()),
			InFlight: nonNegative(d.GetInProgress()),
		})
	}
	for _, a := range w.GetAnnouncements() {
		r.Announcements = append(r.Announcements, AnnouncementFromWire(a))
	}
	return r
}

// nonNegative returns n, or 0 if n is negative.
func nonNegative(n int32) int { return int(max(0, n)) }

// SlotResponseToWire converts the response to a slot request to its message.
func SlotResponseToWire(r routing.SlotResponse) *apiv1.ShareSlotsResponse {
	w := &apiv1.ShareSlotsResponse{
		LeaseMs:  r.TTL.Milliseconds(),
		Term:     r.Term,
		Sequence: r.Sequence,
		Base:     r.Base,
		Resync:   r.Resync,
	}
	for _, g := range r.Grants {
		w.Grants = append(w.Grants, grantToWire(g))
	}
	return w
}

func grantToWire(g routing.Grant) *apiv1.SlotGrant {
	w := &apiv1.SlotGrant{Number: g.Number, Slots: int32(g.Slots)}
	if !g.HasAnnouncement {
		return w
	}
	w.Described = true
	w.Minion = g.Announcement.Minion
	w.Service = g.Announcement.Service
	w.Address = g.Announcement.Address
	w.Incarnation = g.Announcement.Incarnation
	w.TotalSlots = int32(g.Announcement.Slots)
	w.MaxConnections = int32(g.Announcement.MaxConnections)
	w.Leaving = g.Announcement.Leaving
	w.Gone = g.Gone
	return w
}

// SlotResponseFromWire converts the response to a slot request from its message.
func SlotResponseFromWire(w *apiv1.ShareSlotsResponse) routing.SlotResponse {
	r := routing.SlotResponse{
		Term:     w.GetTerm(),
		Sequence: w.GetSequence(),
		TTL:      time.Duration(w.GetLeaseMs()) * time.Millisecond,
		Base:     w.GetBase(),
		Resync:   w.GetResync(),
	}
	for _, g := range w.GetGrants() {
		r.Grants = append(r.Grants, grantFromWire(g))
	}
	return r
}

func grantFromWire(w *apiv1.SlotGrant) routing.Grant {
	g := routing.Grant{Number: w.GetNumber(), Slots: nonNegative(w.GetSlots())}
	if !w.GetDescribed() {
		return g
	}
	g.HasAnnouncement = true
	g.Gone = w.GetGone()
	g.Announcement = routing.Announcement{
		Minion:         w.GetMinion(),
		Service:        w.GetService(),
		Address:        w.GetAddress(),
		Slots:          int(w.GetTotalSlots()),
		MaxConnections: int(w.GetMaxConnections()),
		Incarnation:    w.GetIncarnation(),
		Leaving:        w.GetLeaving(),
	}
	return g
}
