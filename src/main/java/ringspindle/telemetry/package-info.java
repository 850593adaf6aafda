/**
 * Load and health of engines, as data nodes measure them and report them to each other through the control nodes.
 *
 * <p>Owns the counts of attempts ({@code AttemptCounts}, {@code LoadSummary}), the newest report of each source ({@code
 * ReportCollector}) and the silence of engines ({@code EnginePresence}); all of it changes by calls only, with the time
 * as an argument. Uses {@code protocol} only.
 */
package ringspindle.telemetry;
