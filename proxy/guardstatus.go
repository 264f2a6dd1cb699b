package proxy

import (
	"time"
)

// AdmissionStatus describes admission control for operators.
type AdmissionStatus struct {
	// Limit is the number of requests that may run at a time.
	Limit int `json:"limit"`
	// InFlight and Queued count the requests that run and that wait.
	InFlight int `json:"inFlight"`
	Queued   int `json:"queued"`
	// QueueDelay is the expected wait of the lowest admitted class.
	QueueDelay string `json:"queueDelay"`
}

// Status describes the present state of admission control.
func (a *AdaptiveAdmitter) Status() AdmissionStatus {
	a.mu.Lock()
	defer a.mu.Unlock()
	hint := a.controller.Hint(time.Now())
	return AdmissionStatus{
		Limit:      hint.Limit,
		InFlight:   hint.InFlight,
		Queued:     a.controller.Queued(),
		QueueDelay: hint.QueueDelay.String(),
	}
}
