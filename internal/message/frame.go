package message

const (
	// Protocol is the message protocol version of this program.
	Protocol = 2
	// MinBeatProtocol is the first protocol version that supports Beat messages.
	MinBeatProtocol = 2
)

// Kind identifies the payload of a frame.
type Kind string

// Frame kinds.
const (
	KindHello          Kind = "hello"
	KindHeartbeat      Kind = "heartbeat"
	KindBeat           Kind = "beat"
	KindMembers        Kind = "members"
	KindAsk            Kind = "ask"
	KindWithdraw       Kind = "withdraw"
	KindGrant          Kind = "grant"
	KindRefusal        Kind = "refusal"
	KindRedirect       Kind = "redirect"
	KindRevoke         Kind = "revoke"
	KindRelease        Kind = "release"
	KindProgress       Kind = "progress"
	KindDigest         Kind = "digest"
	KindHint           Kind = "hint"
	KindQuarantine     Kind = "quarantine"
	KindQuarantines    Kind = "quarantines"
	KindLeavingServers Kind = "leaving_servers"
	KindServerLimits   Kind = "server_limits"
	KindEvacuations    Kind = "evacuations"
	KindStoreProgress  Kind = "store_progress"
	KindPolicyGet      Kind = "policy_get"
	KindPolicyData     Kind = "policy_data"
	KindOperationCall  Kind = "operation_call"
	KindOperationReply Kind = "operation_reply"
	KindKeyHandover    Kind = "key_handover"
	KindKeyHandoverAck Kind = "key_handover_ack"
	KindServerUse      Kind = "server_use"
	KindServerDrain    Kind = "server_drain"
	// KindUnknown is a frame without a payload that this version knows.
	KindUnknown Kind = "none"
	// KindMultiple is a malformed frame with more than one payload.
	KindMultiple Kind = "many"
)

// Kind returns the kind of the frame's payload.
func (f *Frame) Kind() Kind {
	kind := KindUnknown
	for _, field := range f.fields() {
		if !field.set {
			continue
		}
		if kind != KindUnknown {
			return KindMultiple
		}
		kind = field.kind
	}
	return kind
}

// frameField describes one payload field of a frame.
type frameField struct {
	set  bool
	kind Kind
}

func (f *Frame) fields() [28]frameField {
	return [...]frameField{
		{f.Hello != nil, KindHello},
		{f.Heartbeat != nil, KindHeartbeat},
		{f.Beat != nil, KindBeat},
		{f.Members != nil, KindMembers},
		{f.Ask != nil, KindAsk},
		{f.Withdraw != nil, KindWithdraw},
		{f.Grant != nil, KindGrant},
		{f.Refusal != nil, KindRefusal},
		{f.Redirect != nil, KindRedirect},
		{f.Revoke != nil, KindRevoke},
		{f.Release != nil, KindRelease},
		{f.Progress != nil, KindProgress},
		{f.Digest != nil, KindDigest},
		{f.Hint != nil, KindHint},
		{f.Quarantine != nil, KindQuarantine},
		{f.Quarantines != nil, KindQuarantines},
		{f.LeavingServers != nil, KindLeavingServers},
		{f.ServerLimits != nil, KindServerLimits},
		{f.Evacuations != nil, KindEvacuations},
		{f.StoreProgress != nil, KindStoreProgress},
		{f.PolicyGet != nil, KindPolicyGet},
		{f.PolicyData != nil, KindPolicyData},
		{f.OperationCall != nil, KindOperationCall},
		{f.OperationReply != nil, KindOperationReply},
		{f.KeyHandover != nil, KindKeyHandover},
		{f.KeyHandoverAck != nil, KindKeyHandoverAck},
		{f.ServerUse != nil, KindServerUse},
		{f.ServerDrain != nil, KindServerDrain},
	}
}

// Kinds returns all frame kinds.
func Kinds() []Kind {
	kinds := []Kind{KindUnknown, KindMultiple}
	for _, field := range new(Frame).fields() {
		kinds = append(kinds, field.kind)
	}
	return kinds
}

// Telemetry reports whether frames of this kind may be dropped under overload,
// because later frames supersede them.
func (k Kind) Telemetry() bool {
	return k == KindProgress || k == KindDigest || k == KindServerUse || k == KindStoreProgress
}

// NeverSent reports whether a request released with this outcome didn't reach its server.
func (o ReleaseOutcome) NeverSent() bool {
	return o == ReleaseOutcomeUnused || o == ReleaseOutcomeConnectFailed
}

// NeverRan reports whether a request released with this outcome did no work on
// its server.
func (o ReleaseOutcome) NeverRan() bool {
	switch o {
	case ReleaseOutcomeUnused, ReleaseOutcomeConnectFailed, ReleaseOutcomeRejected:
		return true
	}
	return false
}
