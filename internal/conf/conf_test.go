package conf

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/bilberryferry/bilberryferry/fault"
)

const sample = `[[customer]]
name = "rackwise"
cpu = "200.5"
memory = "512GiB"
accelerators = 4
weight = 2

[[customer]]
name = "himalaya"
weight = 1

[quota]
data_centres = ["naas-hall", "swords-hall"]
generation = 0
`

func TestParseReadsCustomerQuotas(t *testing.T) {
	d, err := Parse(sample)
	must.NoError(t, err)
	c, ok := d.Customer("rackwise")
	must.True(t, ok)
	must.Eq(t, Customer{Name: "rackwise", CPU: 200500, Memory: 512 << 10, Accelerators: 4, Weight: 2}, c)
	c, _ = d.Customer("himalaya")
	must.Eq(t, Customer{Name: "himalaya", CPU: Unlimited, Memory: Unlimited, Accelerators: Unlimited, Weight: 1}, c)
	must.Eq(t, sample, d.String())
}

func TestParseRefusesInvalidDocuments(t *testing.T) {
	cases := []struct{ text, field, message string }{
		{strings.Replace(sample, "himalaya", "rackwise", 1), "customer[1].name", "line 9: customer \"rackwise\" is named twice"},
		{strings.Replace(sample, "200.5", "lots", 1), "customer[0].cpu", "line 3: \"lots\" isn't a number of cores"},
		{strings.Replace(sample, "\"200.5\"", "\"\"", 1), "customer[0].cpu", "isn't a number of cores"},
		{strings.Replace(sample, "512GiB", "512", 1), "customer[0].memory", "line 4: \"512\" isn't a size with a unit"},
		{strings.Replace(sample, "= 4", "= -1", 1), "customer[0].accelerators", "line 5"},
		{strings.Replace(sample, "weight = 1", "weight = 0", 1), "customer[1].weight", "line 10"},
		{strings.Replace(sample, "weight = 1", "wieght = 1", 1), "customer.wieght", `line 10: unknown key; did you mean "weight"?`},
		{strings.Replace(sample, "name = \"himalaya\"\n", "", 1), "customer[1].name", "line 8"},
		{sample + "[limits]\n", "limits", "unknown key"},
		{strings.Split(sample, "\n[quota]")[0], "quota.data_centres", "is missing: customers have quotas"},
		{strings.Replace(sample, "swords", "naas", 1), "quota.data_centres", "named twice"},
		{strings.Replace(sample, "swords-hall", "../x", 1), "quota.data_centres", "isn't a name"},
		{strings.Replace(sample, "generation = 0", "generation = -1", 1), "quota.generation", "must be from 0"},
		{sample + strings.Repeat("#", MaxDocumentBytes), "", "at most"},
	}
	for _, c := range cases {
		_, err := Parse(c.text)
		must.Error(t, err)
		must.Eq(t, fault.Invalid, fault.KindOf(err))
		must.Eq(t, c.field, fault.From(err).Field)
		must.StrContains(t, fault.From(err).Message, c.message)
	}
}

func encode(t must.T, w Write) []byte {
	command, err := w.Encode()
	must.NoError(t, err)
	return command
}

// Guards against a lost update. Two operators have both read version 0 and write at the
// same time. One write must succeed, and the error of the other must name the current
// version. A repeat of either request must get its first response and write nothing.
func TestOnlyOneOfTwoConcurrentWritesSucceeds(t *testing.T) {
	r := NewRegister()
	changed := r.Changed()
	first := Write{RequestID: "a", Document: sample, Author: "op1"}
	second := Write{RequestID: "b", Document: "", Author: "op2"}
	accepted := r.Apply(1, encode(t, first)).(Outcome)
	must.NoError(t, accepted.Err)
	must.Eq(t, uint64(1), accepted.Config.Version)
	<-changed
	refused := r.Apply(2, encode(t, second)).(Outcome)
	must.True(t, fault.Is(refused.Err, fault.Conflict))
	must.ErrorContains(t, refused.Err, "the current version is 1")

	first.Accepted = time.UnixMilli(99) // a repeat carries a later time
	must.Eq(t, uint64(1), r.Apply(3, encode(t, first)).(Outcome).Config.Version)
	must.ErrorContains(t, r.Apply(4, encode(t, second)).(Outcome).Err, "the current version is 1")
	second.Expected = 1
	must.ErrorContains(t, r.Apply(5, encode(t, second)).(Outcome).Err, "used before with other content")
	must.Eq(t, uint64(1), r.Current().Version)
	must.Nil(t, r.Apply(6, nil))
	must.Error(t, r.Apply(7, []byte("junk")).(Outcome).Err)
}

func TestEncodeRefusesInvalidWrites(t *testing.T) {
	for _, w := range []Write{{}, {RequestID: strings.Repeat("x", 200)}, {RequestID: "a", Document: "x = 1"}, {RequestID: "a", Author: strings.Repeat("x", 300)}} {
		_, err := w.Encode()
		must.True(t, fault.Is(err, fault.Invalid))
	}
}

// Guards against a configuration in force that goes back to an older version: an instance
// receives an old snapshot late, after it has applied newer versions.
func TestVersionNeverGoesBack(t *testing.T) {
	r := NewRegister()
	r.Apply(1, encode(t, Write{RequestID: "a"}))
	old, err := r.Snapshot()
	must.NoError(t, err)
	r.Apply(2, encode(t, Write{RequestID: "b", Expected: 1, Document: sample}))
	must.Error(t, r.Restore(old))
	must.Error(t, r.Restore([]byte("junk")))
	must.Eq(t, uint64(2), r.Current().Version)
	var h Holder
	must.True(t, h.Set(r.Current()))
	must.False(t, h.Set(Config{Version: 1}))
	must.Eq(t, uint64(2), h.Current().Version)
}

// Guards against losing the configuration in force: a newer program has written a document
// with a key that this program doesn't know. The new version must be in force with the
// last readable document.
func TestUnreadableDocumentKeepsLastReadableOne(t *testing.T) {
	var h Holder
	must.True(t, h.Set(Config{Version: 1, Text: sample}))
	must.True(t, h.Set(Config{Version: 2, Text: "new_key = 1"}))
	must.Eq(t, uint64(2), h.Current().Version)
	must.StrContains(t, h.Current().Unreadable, "unknown key")
	must.Len(t, 2, h.Current().Document.Customers)
}

// TestRandomWritesKeepRegisterConsistent makes random writes, repeats and restarts from
// snapshots. Versions must grow by one, a repeat must never write, a restored copy must
// have the same snapshot, and the history must stay within its bounds.
func TestRandomWritesKeepRegisterConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRegister()
		sent := map[string][]byte{}
		version := uint64(0)
		for step := range rapid.IntRange(1, 90).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				id := fmt.Sprintf("r%d", step)
				expected := version - min(version, uint64(rapid.IntRange(0, 1).Draw(t, "stale")))
				sent[id] = encode(t, Write{RequestID: id, Expected: expected, Document: "#" + strings.Repeat("x", rapid.SampledFrom([]int{0, 10, 40000}).Draw(t, "size"))})
				out := r.Apply(uint64(step), sent[id]).(Outcome)
				must.Eq(t, expected == version, out.Err == nil)
				if out.Err == nil {
					version++
				}
			case 2:
				for id := range sent {
					r.Apply(uint64(step), sent[id])
					break
				}
			case 3:
				data, err := r.Snapshot()
				must.NoError(t, err)
				restored := NewRegister()
				must.NoError(t, restored.Restore(data))
				again, err := restored.Snapshot()
				must.NoError(t, err)
				must.True(t, bytes.Equal(data, again))
				r = restored
			}
			must.Eq(t, version, r.Current().Version)
			const allVersions = 1000 // more than the register keeps
			history := r.History(allVersions)
			must.LessEq(t, maxHistory, len(history))
			total := 0
			for i, c := range history {
				must.Eq(t, version-uint64(i), c.Version)
				total += len(c.Text)
			}
			must.LessEq(t, maxHistoryBytes, total)
		}
	})
}

// Documents of the maximum size must not fill the memory: the history must keep only as many
// as fit into maxHistoryBytes.
func TestHistoryIsBoundedInBytes(t *testing.T) {
	r := NewRegister()
	document := "#" + strings.Repeat("x", MaxDocumentBytes-1)
	for i := range maxHistory {
		r.Apply(uint64(i), encode(t, Write{RequestID: fmt.Sprint(i), Expected: uint64(i), Document: document}))
	}
	must.Len(t, maxHistoryBytes/MaxDocumentBytes, r.History(maxHistory))
}

// Many requests must not fill the memory with recorded responses. A response that is still
// kept must be returned to a repeat.
func TestRecordedResponsesAreBounded(t *testing.T) {
	r := NewRegister()
	for i := range maxResponses + 10 {
		r.Apply(uint64(i), encode(t, Write{RequestID: fmt.Sprint(i), Expected: uint64(i)}))
	}
	must.Len(t, maxResponses, r.responses)
	must.MapLen(t, maxResponses, r.responseNumbers)
	last := r.Apply(0, encode(t, Write{RequestID: fmt.Sprint(maxResponses), Expected: maxResponses})).(Outcome)
	must.Eq(t, uint64(maxResponses+1), last.Config.Version)
}

// FuzzParse parses arbitrary texts. An error must be of kind Invalid, and a parsed document
// must survive being formatted and parsed again.
func FuzzParse(f *testing.F) {
	f.Add(sample)
	f.Add("")
	f.Add("[[customer]]\nname = \"a\"\ncpu = 2\n")
	f.Add("[[customer]]\nname=\"b\"\nmemory = \"1TiB\"")
	f.Fuzz(func(t *testing.T, text string) {
		d, err := Parse(text)
		if err != nil {
			must.Eq(t, fault.Invalid, fault.KindOf(err))
			return
		}
		again, err := Parse(d.String())
		must.NoError(t, err)
		must.Eq(t, d, again)
	})
}

// FuzzApply applies arbitrary commands. Apply must not panic, and a command must raise the
// version by at most one.
func FuzzApply(f *testing.F) {
	good, err := Write{RequestID: "a", Document: sample}.Encode()
	must.NoError(f, err)
	f.Add(good)
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, command []byte) {
		r := NewRegister()
		r.Apply(1, command)
		must.LessEq(t, 1, r.Current().Version)
	})
}
