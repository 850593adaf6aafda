package ringspindle.loadbalancing;

import java.util.List;
import java.util.Set;
import ringspindle.api.Outcome;
import ringspindle.config.FleetConfig;
import ringspindle.config.NodeConfig;
import ringspindle.protocol.Message.Engine;
import ringspindle.protocol.Message.Lease;
import ringspindle.protocol.Message.Load;
import ringspindle.protocol.NodeId;
import ringspindle.retry.AttemptOutcome;
import ringspindle.routing.FallbackTarget;
import ringspindle.telemetry.LoadSummary;

/** Chooses engines: who may be asked, who is near, who has the prompt's head, who has room. Thread safe. */
public interface LoadBalancer {
    /** No first byte, as the connection was no more. */
    long STALE_MS = -2;

    /** What is to be placed. affinity 0 means that nothing is shared; weights below 0 that any will do. */
    record Ask(
            String service,
            Set<String> homes,
            long affinity,
            int sharedTokens,
            int tokens,
            int outTokens,
            Set<String> tried,
            long weights,
            long luck,
            Steer steer) {
        /** Without serving rules. */
        public Ask(
                String service,
                Set<String> homes,
                long affinity,
                int sharedTokens,
                int tokens,
                int outTokens,
                Set<String> tried,
                long weights,
                long luck) {
            this(service, homes, affinity, sharedTokens, tokens, outTokens, tried, weights, luck, null);
        }
    }

    /**
     * What a serving rule says of the choice; it narrows what may be chosen and never widens it.
     *
     * @param kept the share of an engine's places that is kept for other classes
     * @param uneven how many times the mean load the holder may have
     * @param waitedMs how long the request has waited for a place
     */
    record Steer(double kept, double uneven, List<FallbackTarget> busy, List<FallbackTarget> gone, long waitedMs) {}

    /** An engine, or why there is none. */
    sealed interface Choice {}

    /** The engine that was chosen. */
    record Chosen(String id, NodeId address, String zone, int maxWires) implements Choice {}

    /** None now; waiting may help. */
    record NoneNow(Outcome outcome, long comeBackMs) implements Choice {}

    /** Engines that are to be asked for their status now. */
    record Probe(String id, NodeId address, String healthPath) {}

    /** Takes over a configuration. */
    void config(FleetConfig c);

    /** This node's own settings changed. */
    void settings(NodeConfig c);

    /** An engine spoke; seen at nowMs. */
    void engine(String id, Engine e, long version, long nowMs);

    /** An engine said that it leaves, or is gone. */
    void leaving(String id, boolean gone, long nowMs);

    /** A zone was evacuated, or its evacuation was taken back. */
    void evacuated(String zone, boolean on, long nowMs);

    /** Control nodes have not heard an engine's heartbeat for a while, or hear it again. */
    void silent(String id, boolean on, long nowMs);

    /** Takes a lease from the control plane: how many nodes share the retry budget. */
    void lease(Lease l, long nowMs);

    /** What all nodes of the region saw, summed; {@code picker.load(load, nowMs)} every now and then, or never. */
    void load(Load l, long nowMs);

    /** What this node saw of engines in its window, and what runs now; {@code picker.report(nowMs).report(life, seq)}. */
    LoadSummary report(long nowMs);

    /** The engines of a service whose turn it is in a roll-out: they get nothing new, and are cold when they return. */
    void turn(String service, Set<String> ids, long nowMs);

    /** Picks and, on success, counts the request as running there: {@link #ended} must follow. */
    Choice choose(Ask ask, long nowMs);

    /** The request went out to the engine. */
    void sent(String id, long nowMs);

    /** Bytes came from the engine. */
    void heard(String id, long nowMs);

    /**
     * The attempt is over; firstMs is the time to the first byte, below 0 if none came, and {@link #STALE_MS} if nothing
     * came because an idle connection had been forgotten, which says nothing of the engine.
     */
    void ended(String id, Ask ask, AttemptOutcome end, long firstMs, long nowMs);

    /** A consumer's request for a service, of which further tries are earned. */
    void asked(String service, long nowMs);

    /** True if one further arrival at the service is within this node's share; takes it. */
    boolean takeRetry(String service, long nowMs);

    /** Engines that seem to be silent or broken and are due for a question. */
    List<Probe> probes(long nowMs);

    /** What a probe came to. */
    void probed(String id, boolean well, int coldMs, long nowMs);

    /** Ids of engines that are known, for cutting wires of those that are gone. */
    Set<String> known();

    /** {@code LoadBalancer.create(config)} knows no engines yet. */
    static LoadBalancer create(NodeConfig config) {
        return new EngineTableLoadBalancer(config);
    }
}
