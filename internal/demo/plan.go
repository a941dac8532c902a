package demo

import (
	"net/http"
	"slices"

	"mimosafront/examples"
)

// plan is what the callers of one association send.
type plan struct {
	name    string
	policy  []byte
	zone    string
	model   string
	service string
	// texts are sent several times over, in this order.
	texts []text
	// rounds is the number of times that the texts are sent.
	rounds int
	// operator records one operation of a tier: path and body are what it sends
	// to the service, lookup is where the record can be read.
	operator string
	tier     string
	path     string
	body     string
	lookup   string
}

// text is one request of a caller.
type text struct {
	caller    string
	tier      string
	what      string
	prompt    string
	maxTokens int
}

// request is a text with the status that is expected of its answer.
type request struct {
	text
	key  string
	want int
}

// requests returns the texts of all rounds and one request with a wrong key.
func (p plan) requests() []request {
	var all []request
	for range p.rounds {
		for _, t := range p.texts {
			all = append(all, request{text: t, key: "demo-" + t.caller, want: http.StatusOK})
		}
	}
	stranger := request{text: p.texts[0], key: "unknown-key", want: http.StatusUnauthorized}
	stranger.caller, stranger.tier, stranger.what = "stranger", "-", "request with a wrong key"
	return slices.Insert(all, len(all)/2, stranger)
}

var consortiumPlan = plan{
	name: "consortium", policy: examples.Consortium, zone: "lisbon-a", model: "fountain-vision", service: "registry", rounds: 4,
	texts: []text{
		{"aurora-crew-1", "description", "coin description", "Describe the provenance of a worn 50-centavo piece recovered from the Rossio fountain: bronze, 1927, green patina, a file mark on the rim.", 32},
		{"tejo-crew-1", "description", "coin description", "Describe a silver 10-escudo coin with a ship on its reverse, found under the north basin grate at Belém.", 32},
		{"chafariz-crew-1", "report", "condition report", "Draft a condition report: copper 5-reis, obverse legible, reverse corroded, one edge clip, cleaned by an earlier owner.", 48},
		{"aurora-office", "tagging", "catalogue tags", "Tag this entry: commemorative medal, Expo 98, gilt, 30 mm, scratched.", 12},
		{"bicas-crew-1", "report", "condition report", "Draft a condition report for nine coins from one dive: seven 2.5-escudo, two foreign, all with lime deposits.", 48},
		{"moeda-velha-crew-1", "description", "coin description", "Describe a copper 20-reis of Dom Luís with a counterstamp, found by the crew of the old mint fountain.", 32},
		{"tejo-crew-2", "tagging", "catalogue tags", "Tag this entry: Roman as, illegible, holed, probably a wish coin.", 12},
	},
	operator: "aurora-crew-1", tier: "handover", path: "/handovers",
	body: `{"coin":"rossio-1927-50c","from":"aurora","to":"tejo"}`, lookup: "/handovers/rossio-1927-50c",
}

var workshopPlan = plan{
	name: "workshop", policy: examples.Workshop, zone: "plovdiv-a", model: "bookplate-writer", service: "orders", rounds: 4,
	texts: []text{
		{"head-engraver", "brief", "commission brief", "Draft a commission brief for the Petrov family of Plovdiv: three generations of rose growers, a house on Nebet Tepe, a grandfather who printed almanacs. The plate should carry a rose, a press and the year 1878.", 64},
		{"collector-1", "brief", "commission brief", "Draft a brief for a mezzotint plate: an owl on a pear branch, for a retired judge who reads only at night.", 64},
		{"librarian-1", "cataloguing", "catalogue entry", "Catalogue a donated plate: copper engraving, armorial, motto Labore et Constantia, trimmed margins, about 1790.", 40},
		{"librarian-2", "cataloguing", "catalogue entry", "Catalogue a donated plate: woodcut, a lighthouse, signed with a monogram, paper toned.", 40},
		{"volunteer-1", "caption", "caption", "Caption: a bookplate with two hares.", 12},
		{"volunteer-2", "caption", "caption", "Caption: a bookplate with a sailing ship.", 12},
		{"shop-desk", "caption", "caption", "Caption: a bookplate with a mimosa branch.", 12},
	},
	operator: "shop-desk", tier: "order", path: "/captures",
	body: `{"order":1878,"amount":"24.00","currency":"EUR"}`, lookup: "/orders/1878",
}
