/**
 * Selects the engine for each request of a data node.
 *
 * <p><b>Owns</b> what this node knows of engines: the engine table, in-flight load, outlier ejection, slow start, the retry
 * budget and zone evacuations. It forgets all of it when the process ends.
 *
 * <p><b>Lock.</b> {@link ringspindle.loadbalancing.EngineTableLoadBalancer} is the only owner of a lock; every other class
 * with state is confined to it. Nothing in the package blocks, calls out, or reads a clock or a source of random numbers:
 * time and random bits come with each call, so that the same calls give the same decisions.
 *
 * <p><b>May use</b> {@code config} (settings and configuration), {@code protocol} (messages of the control plane), {@code
 * telemetry} (counts and summaries), {@code routing} (fallback targets), {@code retry} (attempt outcomes) and {@code api}
 * (outcomes).
 */
package ringspindle.loadbalancing;
