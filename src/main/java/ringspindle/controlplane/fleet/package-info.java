/**
 * What a control node learns from other nodes and tells them: {@code FleetState} holds sessions, facts, load, leases and
 * reports, and guards them all by one lock.
 *
 * <ul>
 *   <li>{@code FleetFacts} and {@code FactDissemination}: facts, and who has been told of them.
 *   <li>{@code DataNodeDirectory}, {@code HomeRegions} and {@code FrontendResolver}: where clients are told to go.
 *   <li>{@code LoadAggregator}, {@code LedgerReportStore} and {@code QuotaLeaseIssuer}: reports, and shares of budgets.
 * </ul>
 *
 * <p>Used by {@code controlplane}; knows nothing of HTTP, and of the replicated state only its
 * record of a roll-out.
 */
package ringspindle.controlplane.fleet;
