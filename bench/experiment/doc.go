// Package experiment runs a site under faults and says whether its promises held.
package experiment
