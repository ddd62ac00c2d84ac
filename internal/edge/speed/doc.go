// Package speed estimates from responses how fast one target is compared with the median target of its service, and how many
// requests in progress it takes before it slows down. An Estimator decides on plain values: callers pass in the time and the
// results of requests, and exchange Reports with other hosts.
//
// Disturbances of single requests make them slower, hardly ever faster: heavy work, an object that the target does not know, a
// machine that is shared with others. The slowness is therefore a quantile below the median of the recent logarithmic ratios
// of work to expected work, weighted by time: a sample stands for the time since the sample before it. Many samples within a short
// disturbance count no more than few.
package speed
