// Package reservation reserves servers for large tasks that find no room, by EASY backfilling: later tasks may use a reserved
// server only if they are foreseen to end before the reservation begins, or fit beside it.
package reservation
