package service

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Parameters of the generated responses.
const (
	baseFare = 500
	maxFare  = 4500
	// fullRewardWords is the completion length, in words, from which the reward is 1.
	fullRewardWords = 64
)

// Fare is the body of the response to GET /fares/{from}/{to}.
type Fare struct {
	From string `json:"from"`
	To   string `json:"to"`
	// Amount is in ISK.
	Amount uint64 `json:"amount"`
}

// Booking is the body of POST /bookings.
type Booking struct {
	ID   string `json:"id"`
	Slot string `json:"slot,omitempty"`
}

// BookingResponse is the body of the response to POST /bookings.
type BookingResponse struct {
	ID string `json:"id"`
	// Execution is the number of times the booking has been executed.
	Execution int `json:"execution"`
}

// ScoreRequest is the body of POST /score.
type ScoreRequest struct {
	Messages   json.RawMessage `json:"messages"`
	Completion string          `json:"completion"`
}

// ScoreResponse is the body of the response to POST /score.
type ScoreResponse struct {
	// Reward is between 0 and 1.
	Reward float64 `json:"reward"`
}

func (s *Service) serveFare(w http.ResponseWriter, r *http.Request) {
	fare := Fare{From: r.PathValue("from"), To: r.PathValue("to")}
	fare.Amount = baseFare + xxhash.Sum64String(fare.From+"\x00"+fare.To)%maxFare
	s.recordExecution(r, "")
	writeJSON(w, http.StatusOK, fare)
}

func (s *Service) serveBooking(w http.ResponseWriter, r *http.Request) {
	var b Booking
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		writeError(w, http.StatusBadRequest, "booking: "+err.Error())
		return
	}
	if b.ID == "" {
		writeError(w, http.StatusBadRequest, "booking: id is missing; send one")
		return
	}
	executions := s.recordExecution(r, b.ID)
	if s.currentFaults().ResetAfterExecuting {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusCreated, BookingResponse{ID: b.ID, Execution: executions})
}

func (s *Service) serveScore(w http.ResponseWriter, r *http.Request) {
	var req ScoreRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		writeError(w, http.StatusBadRequest, "score: "+err.Error())
		return
	}
	s.recordExecution(r, "")
	words := len(strings.Fields(req.Completion))
	writeJSON(w, http.StatusOK, ScoreResponse{Reward: min(1, float64(words)/fullRewardWords)})
}

// serveHealth reports the start count, by which an agent detects a restart between two health checks.
func (s *Service) serveHealth(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, Health{StartCount: s.settings.StartCount})
}

// Health is the body of the response to GET /healthz.
type Health struct {
	StartCount int64 `json:"start_count"`
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, ErrorResponse{Error: message})
}

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Error string `json:"error"`
}
