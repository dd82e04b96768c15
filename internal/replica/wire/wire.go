// Package wire parses messages in the protobuf wire format. It is used for the files
// whose encoding is written by hand instead of generated.
package wire

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"
)

// ErrMalformed is returned for bytes that are not a valid message with only varint and
// bytes fields. Packages journal and snapshot also use it for records with invalid values.
var ErrMalformed = errors.New("record is malformed")

// FieldVisitor handles one field. value is set for a varint field, data for a bytes
// field. data shares the memory of the message.
type FieldVisitor func(number protowire.Number, value uint64, data []byte) error

// VisitFields calls visit for each field of a message. It stops at the first error of
// visit and returns that.
func VisitFields(b []byte, visit FieldVisitor) error {
	for len(b) > 0 {
		number, kind, length := protowire.ConsumeTag(b)
		if length < 0 {
			return ErrMalformed
		}
		b = b[length:]
		var value uint64
		var data []byte
		switch kind {
		case protowire.VarintType:
			value, length = protowire.ConsumeVarint(b)
		case protowire.BytesType:
			data, length = protowire.ConsumeBytes(b)
		default:
			return ErrMalformed
		}
		if length < 0 {
			return ErrMalformed
		}
		b = b[length:]
		if err := visit(number, value, data); err != nil {
			return err
		}
	}
	return nil
}
