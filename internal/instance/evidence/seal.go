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

// Keys holds the keys of the fleet.
type Keys struct {
	Seal cipher.AEAD   // encrypts; nil while no key is known
	Open []cipher.AEAD // decrypt; the current key first
}

// NewKey returns a random key.
func NewKey() []byte {
	key := make([]byte, KeyBytes)
	_, _ = rand.Read(key) // never fails
	return key
}

// NewAEAD returns an AES-GCM cipher that generates random nonces.
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

// message is the decrypted payload of a datagram.
type message struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64   // of the sender
	Sequence    uint64   // increases with each datagram
	Records     []Record
}

// version is the first byte of a datagram with evidence. It is authenticated but
// not encrypted. An instance ignores datagrams with a first byte that it doesn't
// know.
const version = 1

func seal(key cipher.AEAD, m *message) ([]byte, error) {
	return sealAs(version, key, m)
}

// sealAs returns a datagram with the given first byte.
func sealAs(version byte, key cipher.AEAD, m any) ([]byte, error) {
	plain, err := cbor.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	return key.Seal([]byte{version}, nil, plain, []byte{version}), nil
}

var errNotAuthenticated = errors.New("datagram is not authenticated with a key of this fleet")

func open(keys []cipher.AEAD, datagram []byte) (*message, error) {
	var m message
	return &m, openAs(version, keys, datagram, &m)
}

// openAs decodes a datagram with the given first byte into m.
func openAs(version byte, keys []cipher.AEAD, datagram []byte, m any) error {
	if len(datagram) < 1 || datagram[0] != version {
		return errNotAuthenticated
	}
	plain, ok := Unseal(keys, datagram[1:], datagram[:1])
	if !ok {
		return errNotAuthenticated
	}
	return errors.Wrap(decMode.Unmarshal(plain, m), "decode")
}

// Unseal decrypts and authenticates sealed with the first key that fits. It
// returns false if none does.
func Unseal(keys []cipher.AEAD, sealed, additionalData []byte) ([]byte, bool) {
	for _, key := range keys {
		if plain, err := key.Open(nil, nil, sealed, additionalData); err == nil {
			return plain, true
		}
	}
	return nil, false
}

// decMode limits the size and structure of decoded messages.
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
