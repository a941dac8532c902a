package status

// Query describes a request whose placement is asked for.
type Query struct {
	// Key is the caller's key. Without it, Organisation and Caller name the sender.
	Key          string `json:"key,omitempty"`
	Organisation string `json:"organisation,omitempty"`
	Caller       string `json:"caller,omitempty"`
	// Host and Path select a route; Target is a model or service for a request without a
	// route, or one of several targets of a route.
	Host   string `json:"host,omitempty"`
	Path   string `json:"path,omitempty"`
	Target string `json:"target,omitempty"`
	// Zone is the availability zone of the pool; empty is that of the entry host asked.
	Zone string `json:"zone,omitempty"`
	// Tier is the tier of a request without a route; empty is the caller's own.
	Tier string `json:"tier,omitempty"`
	// PromptTokens and OutputTokens are the lengths of the prompt and of the answer.
	PromptTokens int `json:"prompt_tokens,omitempty"`
	OutputTokens int `json:"output_tokens,omitempty"`
	// Parts lists the parts of the prompt as ID:TOKENS, separated by commas.
	Parts string `json:"parts,omitempty"`
	// DeadlineMs is the time until the whole answer is due; 0 is that of the route or tier.
	DeadlineMs int `json:"deadline_ms,omitempty"`
}

// Explanation says where a request would go now, and why.
type Explanation struct {
	// Host answered. Coordinator is the entry host that coordinates the pool; if it is
	// another one, nothing but the pool is known here.
	Host        string `json:"host"`
	Coordinator string `json:"coordinator"`
	Target      string `json:"target"`
	Zone        string `json:"zone"`
	// Route and Kind are empty for requests without a route.
	Route        string `json:"route,omitempty"`
	Kind         string `json:"kind,omitempty"`
	Organisation string `json:"organisation"`
	Caller       string `json:"caller,omitempty"`
	Tier         string `json:"tier"`
	Policy       int    `json:"policy"`
	// Rebuilding pools may not know all that runs on their servers.
	Rebuilding bool `json:"rebuilding,omitempty"`
	// Ahead of Waiting requests, with AheadTokens, would be served before it.
	Ahead       int `json:"ahead"`
	AheadTokens int `json:"ahead_tokens"`
	Waiting     int `json:"waiting"`
	// ExpectedWaitMs is the time until its grant.
	ExpectedWaitMs int `json:"expected_wait_ms"`
	// Refusal is set if the request would be refused at once.
	Refusal *ExplainedRefusal `json:"refusal,omitempty"`
	// Servers are those that could start it now, the best one first, and then the others.
	Servers []ExplainedServer `json:"servers,omitempty"`
	// Zones are the pools of the same target elsewhere.
	Zones []ExplainedZone `json:"zones,omitempty"`
}

// ExplainedRefusal is a refusal that a request would get.
type ExplainedRefusal struct {
	Reason  string `json:"reason"`
	Text    string `json:"text"`
	Verdict string `json:"verdict"`
	// RetryAfterMs is about the delay that would be advised; 0 for none.
	RetryAfterMs int `json:"retry_after_ms"`
}

// ExplainedServer is a server of the pool. Times are expected ones from dispatch.
type ExplainedServer struct {
	Server string `json:"server"`
	// LeftOut is why it can't start the request now.
	LeftOut      string `json:"left_out,omitempty"`
	FirstTokenMs int    `json:"first_token_ms"`
	TotalMs      int    `json:"total_ms"`
	// ScoreMs is the total stretched by the load, and the InterferenceMs by which other
	// streams are held up; the lowest one is the best.
	InterferenceMs int `json:"interference_ms"`
	ScoreMs        int `json:"score_ms"`
	// HeldTokens of the prompt have been known to be there for HeldAgeMs.
	HeldTokens int `json:"held_tokens"`
	HeldAgeMs  int `json:"held_age_ms"`
	Requests   int `json:"requests"`
	Tokens     int `json:"tokens"`
	TokenLimit int `json:"token_limit"`
	// ReportAgeMs is the age of the server's last load report; -1 before the first.
	ReportAgeMs int `json:"report_age_ms"`
}

// ExplainedZone is the pool of the target in another zone. It is preferred if its wait and
// the way there, CostMs, are shorter than the wait here.
type ExplainedZone struct {
	Zone        string `json:"zone"`
	WaitMs      int    `json:"wait_ms"`
	CostMs      int    `json:"cost_ms"`
	DigestAgeMs int    `json:"digest_age_ms"`
}
