package proxy

import (
	"bytes"
	"crypto/sha256"

	"github.com/valyala/fasthttp"

	"github.com/toucancove/toucancove/config"
)

// minKeyBytes is the length in bytes of the shortest word of a request that is
// looked up as a key.
const minKeyBytes = 8

// strayKeys returns the published keys that a request contains anywhere in its
// URI or headers, including where no key is expected, such as a cookie. A key
// is found if it is a word (see isDelimiter) or the value of a name=value or
// name:value pair.
func strayKeys(view *config.View, header *fasthttp.RequestHeader) [][]byte {
	finder := keyFinder{view: view}
	finder.search(fasthttp.AppendUnquotedArg(nil, header.RequestURI()))
	for _, value := range header.All() {
		finder.search(value)
	}
	return finder.found
}

// keyFinder collects the published keys among the words of texts.
type keyFinder struct {
	view  *config.View
	found [][]byte
}

func (f *keyFinder) search(text []byte) {
	if len(text) < minKeyBytes {
		return
	}
	for word := range bytes.FieldsFuncSeq(text, isDelimiter) {
		f.check(word)
		if at := bytes.IndexAny(word, "=:"); at >= 0 {
			f.check(word[at+1:])
		}
	}
}

func (f *keyFinder) check(word []byte) {
	if len(word) < minKeyBytes {
		return
	}
	if _, _, ok := f.view.LookupKey(sha256.Sum256(word)); ok {
		f.found = append(f.found, bytes.Clone(word))
	}
}

func isDelimiter(r rune) bool {
	switch r {
	case ' ', '\t', ',', ';', '"', '\'', '&', '?', '#', '/', '(', ')', '<', '>', '[', ']', '{', '}', '|':
		return true
	default:
		return false
	}
}
