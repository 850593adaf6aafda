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
    /** Value of a time to first byte in {@link #onAttemptEnded}: an idle connection had been closed by the peer. */
    long STALE_MS = -2;

    /**
     * A request that needs an engine.
     *
     * @param service name of the service that must serve it
     * @param allowedRegions regions whose engines may serve it; empty if any region may
     * @param affinityKey hash of the shared prompt prefix; 0 if nothing is shared
     * @param sharedPrefixTokens tokens of the shared prefix, which an engine with the prefix in its cache need not read
     * @param uncachedTokens the other tokens of the prompt, which any engine must read
     * @param outputTokens expected tokens of the answer
     * @param excludedEngineIds engines that were attempted already
     * @param weightsVersion version of the model weights that the engine must run; below 0 if any will do
     * @param random uniformly distributed bits for breaking ties
     * @param preference what a serving rule says of the choice, or null
     */
    record SelectionRequest(
            String service,
            Set<String> allowedRegions,
            long affinityKey,
            int sharedPrefixTokens,
            int uncachedTokens,
            int outputTokens,
            Set<String> excludedEngineIds,
            long weightsVersion,
            long random,
            RoutingPreference preference) {
        /** A request to which no serving rule applies. */
        public SelectionRequest(
                String service,
                Set<String> allowedRegions,
                long affinityKey,
                int sharedPrefixTokens,
                int uncachedTokens,
                int outputTokens,
                Set<String> excludedEngineIds,
                long weightsVersion,
                long random) {
            this(
                    service,
                    allowedRegions,
                    affinityKey,
                    sharedPrefixTokens,
                    uncachedTokens,
                    outputTokens,
                    excludedEngineIds,
                    weightsVersion,
                    random,
                    null);
        }
    }

    /**
     * What a serving rule says of the choice. It narrows the engines that may be selected and never widens them.
     *
     * @param reservedShare share of an engine's capacity that is reserved for other classes, 0 to 1
     * @param maxImbalance how many times the mean load the preferred engine may have before it counts as busy
     * @param whenBusy fallback targets, in order, while the preferred engine is busy
     * @param whenUnavailable fallback targets, in order, while the preferred engine is unavailable
     * @param waitedMs how long the request has waited for capacity, in ms
     */
    record RoutingPreference(
            double reservedShare,
            double maxImbalance,
            List<FallbackTarget> whenBusy,
            List<FallbackTarget> whenUnavailable,
            long waitedMs) {}

    /** Result of {@link #select}. */
    sealed interface Selection {}

    /**
     * The engine that was selected.
     *
     * @param maxConnections how many connections this node may hold to it
     */
    record SelectedEngine(String id, NodeId address, String zone, int maxConnections) implements Selection {}

    /**
     * No engine has capacity now.
     *
     * @param outcome {@link Outcome#NO_ROOM} if there are engines, {@link Outcome#NO_ENGINE} if there is none
     * @param retryAfterMs when to come back, in ms
     */
    record NoCapacity(Outcome outcome, long retryAfterMs) implements Selection {}

    /** A health check that is due now. */
    record HealthProbe(String id, NodeId address, String healthPath) {}

    /** Takes over a configuration. */
    void updateConfiguration(FleetConfig c);

    /** This node's own settings changed. */
    void updateSettings(NodeConfig c);

    /** An engine spoke; seen at nowMs. */
    void updateEngine(String id, Engine e, long version, long nowMs);

    /** An engine said that it leaves, or is gone. */
    void markDraining(String id, boolean gone, long nowMs);

    /** A zone was evacuated, or its evacuation was taken back. */
    void setZoneEvacuated(String zone, boolean on, long nowMs);

    /** Control nodes have not heard an engine's heartbeat for a while, or hear it again. */
    void setHeartbeatMissing(String id, boolean on, long nowMs);

    /** Takes a lease from the control plane: how many nodes share the retry budget. */
    void updateLease(Lease l, long nowMs);

    /** What all nodes of the region saw, summed; {@code loadBalancer.updateRegionLoad(load, nowMs)} every now and then, or never. */
    void updateRegionLoad(Load l, long nowMs);

    /** What this node saw of engines in its window, and what runs now; {@code loadBalancer.summarizeLoad(nowMs).report(life, seq)}. */
    LoadSummary summarizeLoad(long nowMs);

    /** The engines of a service whose turn it is in a roll-out: they get nothing new, and are cold when they return. */
    void setRolloutTurn(String service, Set<String> ids, long nowMs);

    /** Picks and, on success, counts the request as running there: {@link #ended} must follow. */
    Selection select(SelectionRequest ask, long nowMs);

    /** The request went out to the engine. */
    void onRequestSent(String id, long nowMs);

    /** Bytes came from the engine. */
    void onResponseBytes(String id, long nowMs);

    /**
     * The attempt is over; firstMs is the time to the first byte, below 0 if none came, and {@link #STALE_MS} if nothing
     * came because an idle connection had been forgotten, which says nothing of the engine.
     */
    void onAttemptEnded(String id, SelectionRequest ask, AttemptOutcome end, long firstMs, long nowMs);

    /** A consumer's request for a service, of which further tries are earned. */
    void onRequestReceived(String service, long nowMs);

    /** True if one further arrival at the service is within this node's share; takes it. */
    boolean tryAcquireRetry(String service, long nowMs);

    /** Engines that seem to be silent or broken and are due for a question. */
    List<HealthProbe> dueHealthProbes(long nowMs);

    /** What a probe came to. */
    void onHealthProbeResult(String id, boolean well, int coldMs, long nowMs);

    /** Ids of engines that are known, for cutting wires of those that are gone. */
    Set<String> knownEngineIds();

    /** {@code LoadBalancer.create(config)} knows no engines yet. */
    static LoadBalancer create(NodeConfig config) {
        return new EngineTableLoadBalancer(config);
    }
}
