// Package region decides how the requests of one region are divided among all regions. Divide computes the goal from the capacity and
// the mean demand of regions, MoveTowards approaches it slowly, and Demand keeps the mean demand.
package region
