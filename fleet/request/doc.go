// Package request reads what a caller asks of the fleet beside the work itself.
package request
