// Package member keeps what each entry publishes of itself, and decides who is there.
//
// Membership is advice: nothing that must be agreed rests on it.
package member
