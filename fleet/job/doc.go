// Package job defines jobs, their steps and tasks, their validation, and their conversion to the schema.
package job
