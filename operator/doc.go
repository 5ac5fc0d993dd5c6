// Package operator is the administration API: an operator states an intent,
// gets a plan, and confirms it. Nothing happens before the confirmation.
package operator
