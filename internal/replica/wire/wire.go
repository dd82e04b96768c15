// Package wire walks messages in protobuf's wire format, for the files whose
// layout the system fixes by hand.
package wire

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"
)

// ErrMalformed means that bytes are no message of varint and bytes fields.
var ErrMalformed = errors.New("record is malformed")

// FieldVisitor takes one field: v of a varint, data of a bytes field. Data shares the
// memory of the message.
type FieldVisitor func(f protowire.Number, v uint64, data []byte) error

// VisitFields calls visit for each field of a message, until it returns an error.
func VisitFields(b []byte, visit FieldVisitor) error {
	for len(b) > 0 {
		f, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return ErrMalformed
		}
		b = b[n:]
		var v uint64
		var data []byte
		switch kind {
		case protowire.VarintType:
			v, n = protowire.ConsumeVarint(b)
		case protowire.BytesType:
			data, n = protowire.ConsumeBytes(b)
		default:
			return ErrMalformed
		}
		if n < 0 {
			return ErrMalformed
		}
		b = b[n:]
		if err := visit(f, v, data); err != nil {
			return err
		}
	}
	return nil
}
