package peer

import (
	"errors"

	"github.com/fxamacker/cbor/v2"

	"mimosafront/internal/message"
)

const (
	// maxElements limits the elements of each array and map of a received frame.
	maxElements = 1 << 16
	// maxNesting limits the nesting depth of a received frame.
	maxNesting = 8
)

var errMultipleMessages = errors.New("the frame carries several messages")

// codec encodes frames as CBOR and decodes them.
type codec struct {
	encoder cbor.EncMode
	decoder cbor.DecMode
}

func newCodec() (codec, error) {
	encoder, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		return codec{}, err
	}
	decoder, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	return codec{encoder: encoder, decoder: decoder}, err
}

func (c codec) encode(f *message.Frame) ([]byte, error) { return c.encoder.Marshal(f) }

func (c codec) decode(payload []byte) (*message.Frame, error) {
	f := &message.Frame{}
	if err := c.decoder.Unmarshal(payload, f); err != nil {
		return nil, err
	}
	if f.Kind() == message.KindMultiple {
		return nil, errMultipleMessages
	}
	return f, nil
}
