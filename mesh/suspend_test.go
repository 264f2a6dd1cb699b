package mesh

import (
	"testing"
	"time"
)

func TestSuspensionIsReportedOnce(t *testing.T) {
	s, err := newSuspensionDetector()
	if err != nil {
		t.Fatal(err)
	}
	if suspended, err := s.sinceLast(); err != nil || suspended != 0 {
		t.Errorf("suspended for %v, error %v, want neither", suspended, err)
	}
	s.offset -= 3 * time.Second // as if the machine had been suspended since
	if suspended, err := s.sinceLast(); err != nil || suspended.Round(time.Second) != 3*time.Second {
		t.Errorf("suspended for %v, error %v, want 3 s", suspended, err)
	}
	if suspended, err := s.sinceLast(); err != nil || suspended != 0 {
		t.Errorf("suspended for %v, error %v after the report, want neither", suspended, err)
	}
}
