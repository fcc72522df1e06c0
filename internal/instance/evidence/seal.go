package evidence

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// KeyBytes is the length of a key: AES-256.
const KeyBytes = 32

// Keys are the keys of the exchange.
type Keys struct {
	Seal cipher.AEAD   // nil while there is none
	Open []cipher.AEAD // the current one first
}

// NewKey returns a random key.
func NewKey() []byte {
	key := make([]byte, KeyBytes)
	_, _ = rand.Read(key) // never fails
	return key
}

// NewAEAD returns the cipher of a key.
func NewAEAD(key []byte) (cipher.AEAD, error) {
	if len(key) != KeyBytes {
		return nil, errors.Newf("the key has %d bytes, want %d", len(key), KeyBytes)
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, errors.Wrap(err, "key")
	}
	return cipher.NewGCMWithRandomNonce(block)
}

// message is the content of a datagram.
type message struct {
	_        struct{} `cbor:",toarray"`
	Boot     uint64   // of the sender
	Sequence uint64   // grows with each datagram
	Records  []Record
}

// version is the first byte of a datagram, and is authenticated.
const version = 1

func seal(key cipher.AEAD, m *message) ([]byte, error) {
	plain, err := cbor.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	return key.Seal([]byte{version}, nil, plain, []byte{version}), nil
}

var errForeign = errors.New("the datagram is not from this fleet")

func open(keys []cipher.AEAD, datagram []byte) (*message, error) {
	if len(datagram) < 1 || datagram[0] != version {
		return nil, errForeign
	}
	plain, ok := Unseal(keys, datagram[1:], datagram[:1])
	if !ok {
		return nil, errForeign
	}
	var m message
	if err := decMode.Unmarshal(plain, &m); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	return &m, nil
}

// Unseal opens what was sealed with one of the keys for a purpose, or returns
// false.
func Unseal(keys []cipher.AEAD, sealed, purpose []byte) ([]byte, bool) {
	for _, key := range keys {
		if plain, err := key.Open(nil, nil, sealed, purpose); err == nil {
			return plain, true
		}
	}
	return nil, false
}

// decMode bounds what a message may hold.
var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels: 4, MaxArrayElements: 4 * batchLength, MaxMapPairs: 16,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()
