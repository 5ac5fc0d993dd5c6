// Package operator implements the administration API. An operator submits an
// intent, receives a plan, and confirms the plan. Nothing changes before the
// confirmation.
package operator
