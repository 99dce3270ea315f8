// Package capacity decides how many machines each service has, and which ones. Demand is bursty: a
// queue needs several times its mean for some seconds, then almost nothing. Machines that no service
// needs are moved to a standby pool, where they cost nothing, and are moved back before rising demand
// reaches its peak.
//
// A plan is a pure function of a Snapshot; the history of demand is kept by one Demand per service.
//
// Invariants of a plan:
//   - Only machines on which nothing runs are moved. Others are emptied first, and only for a service
//     whose long-running tasks have no place; no task is stopped for it.
//   - No service loses machines that it needs for its current demand and its reserve.
package capacity
