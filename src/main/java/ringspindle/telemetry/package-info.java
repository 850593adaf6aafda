/**
 * What data nodes saw of engines, summed: attempts by outcome and kind of request, and which engines are heard of.
 *
 * <p><b>Owns</b> the newest report of each source ({@link ringspindle.telemetry.ReportCollector}) and the heartbeats of
 * engines ({@link ringspindle.telemetry.EnginePresence}) of a control node. Both are state machines without clock, socket or
 * random numbers: time comes with each call, and their owner guards them. Everything else is immutable.
 *
 * <p>Reports may be lost, repeated, reordered or come by two ways; summaries merge in any order and grouping.
 *
 * <p><b>May use</b> {@code protocol} (reports, loads and node ids) only.
 */
package ringspindle.telemetry;
