package member

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/vfs"
	"github.com/bilberryferry/bilberryferry/internal/wal"
	"github.com/bilberryferry/bilberryferry/replica"
)

// joinRounds is how long a test lets a member wait for a leader: several rounds of announcements.
const joinRounds = 3 * announceInterval

// saveLog writes a log that a member has stored.
func saveLog(t *testing.T, dataFolder string, state replica.StoredState) {
	w, _, err := wal.Open(vfs.OS{}, filepath.Join(dataFolder, logFolder), nil)
	must.NoError(t, err)
	if state.Snapshot.Index > 0 {
		must.NoError(t, w.SaveSnapshot(state.Snapshot))
	}
	must.NoError(t, w.Save(&state.HardState, state.Entries, true))
	must.NoError(t, w.Close())
}

// startWithoutMembers returns the initial membership of a member that finds the log and no file
// of the initial membership, and what it logs. It gives up joining after joinRounds.
func startWithoutMembers(t *testing.T, state replica.StoredState) ([]replica.Member, string) {
	folder := t.TempDir()
	saveLog(t, folder, state)
	var lines bytes.Buffer
	ctx, cancel := context.WithTimeout(t.Context(), joinRounds)
	defer cancel()
	members, _, _ := newLoggedHost(vfs.OS{}, folder, false, &lines).initialMembers(ctx)
	return members, lines.String()
}

// Guards against members that wait for a leader without end because each lost the name of its
// membership, though their logs have it.
func TestLogNamesMembersWhenTheirFileIsLost(t *testing.T) {
	members := []replica.Member{{ID: "10.0.0.1", HasDisk: true}, {ID: "10.0.0.4", HasDisk: true}}
	encoded, err := cbor.Marshal(members)
	must.NoError(t, err)
	older, err := cbor.Marshal(members[:1])
	must.NoError(t, err)
	hardState := replica.HardState{Term: 2, Commit: 2}
	for name, state := range map[string]replica.StoredState{
		"snapshot": {HardState: hardState, Snapshot: replica.Snapshot{Index: 2, Term: 1, Members: members}},
		"entry": {HardState: hardState, Entries: []replica.Entry{
			{Index: 1, Term: 1, Kind: replica.EntryMembership, Data: older},
			{Index: 2, Term: 1, Kind: replica.EntryMembership, Data: encoded},
			{Index: 3, Term: 1, Kind: replica.EntryMembership, Data: older},
		}},
	} {
		t.Run(name, func(t *testing.T) {
			found, lines := startWithoutMembers(t, state)
			must.Eq(t, members, found)
			must.StrContains(t, lines, "event=members_file outcome=missing")
		})
	}
}

// Guards against a member that waits for a leader in silence: the state that it found is logged,
// and that it waits, once per interval.
func TestMemberWithoutMembersLogsThatItWaits(t *testing.T) {
	found, lines := startWithoutMembers(t, replica.StoredState{
		HardState: replica.HardState{Term: 2}, Entries: []replica.Entry{{Index: 1, Term: 1}},
	})
	must.SliceEmpty(t, found)
	must.StrContains(t, lines, "level=error event=members_file outcome=missing log_last=1")
	must.Eq(t, 1, strings.Count(lines, "event=join outcome="), must.Sprint(lines))
	must.StrContains(t, lines, "asked=10.0.0.1:7,10.0.0.2:7,10.0.0.3:7")
}

// Guards against a lost log that is taken for a first start in silence.
func TestMembersWithoutLogIsLogged(t *testing.T) {
	folder := t.TempDir()
	var lines bytes.Buffer
	open := func(firstStart bool) {
		lines.Reset()
		h := newLoggedHost(vfs.OS{}, folder, firstStart, &lines)
		h.cfg.Machine = emptyMachine{}
		g, err := h.Open(t.Context())
		must.NoError(t, err)
		stopped, stop := context.WithCancel(t.Context())
		stop()
		must.NoError(t, g.Run(stopped))
	}
	open(true)
	must.StrNotContains(t, lines.String(), "log_empty")
	must.NoError(t, os.RemoveAll(filepath.Join(folder, logFolder)))
	open(false)
	must.StrContains(t, lines.String(), "event=log_empty")
}
