// Package job describes jobs: their steps, tasks, sizes and phases, and how they are stored.
package job
