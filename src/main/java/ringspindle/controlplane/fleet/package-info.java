/**
 * State that control nodes exchange with other nodes. {@code FleetState} holds sessions, facts, load, leases and
 * reports and guards them all by one lock.
 *
 * <ul>
 *   <li>{@code FleetFacts} and {@code FactDissemination}: facts, and which peers have been sent them.
 *   <li>{@code DataNodeDirectory}, {@code HomeRegions} and {@code FrontendResolver}: which data nodes clients are
 *       directed to.
 *   <li>{@code LoadAggregator}, {@code LedgerReportStore} and {@code QuotaLeaseIssuer}: reports from other nodes, and
 *       shares of the budgets.
 * </ul>
 *
 * <p>Used by {@code controlplane}. Independent of HTTP, and of the replicated state except for its record of a
 * roll-out.
 */
package ringspindle.controlplane.fleet;
