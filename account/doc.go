// Package account knows the client accounts of a configuration: whose key a caller presents,
// which regions an account's requests may reach, and how many requests it may send. Its
// decisions are pure; time is passed in.
package account
