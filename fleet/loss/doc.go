// Package loss tells from the entries' logs why finite jobs were not done on time.
//
// The logs of all entries, merged in the order of time, give each job's attempts, runs and end. A job that was late,
// failed, refused for good or whose outcome stayed unknown is put under the one cause that cost it the most time. Memory is
// bounded by the jobs of the last minute and by the number of cells of the report.
package loss
