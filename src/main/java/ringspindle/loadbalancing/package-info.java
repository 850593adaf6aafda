/**
 * Selects the engine for each request of a data node.
 *
 * <p><b>State.</b> The package owns the state of engines on this node: the engine table, in-flight load, outlier
 * ejection, slow start, the retry budget and zone evacuations. None of it outlives the process.
 *
 * <p><b>Locking.</b> Only {@link ringspindle.loadbalancing.EngineTableLoadBalancer} has a lock; every other class with
 * state is confined to it. No code in the package blocks, invokes listeners, or reads a clock or a random number
 * generator: time and random bits are passed with each call, so that the same calls give the same decisions.
 *
 * <p><b>Dependencies.</b> {@code config} (settings and configuration), {@code protocol} (messages of the control
 * plane), {@code telemetry} (counts and summaries), {@code routing} (fallback targets), {@code retry} (attempt
 * outcomes) and {@code api} (outcomes).
 */
package ringspindle.loadbalancing;
