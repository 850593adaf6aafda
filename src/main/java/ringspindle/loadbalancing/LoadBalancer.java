package ringspindle.loadbalancing;

import java.util.List;
import java.util.Set;
import ringspindle.api.Outcome;
import ringspindle.config.AllowedRegions;
import ringspindle.config.FleetConfig;
import ringspindle.config.NodeConfig;
import ringspindle.protocol.Message.Engine;
import ringspindle.protocol.Message.Lease;
import ringspindle.protocol.Message.Load;
import ringspindle.protocol.NodeId;
import ringspindle.retry.AttemptOutcome;
import ringspindle.routing.CostWeights;
import ringspindle.routing.FallbackTarget;
import ringspindle.telemetry.LoadSummary;
import ringspindle.telemetry.RequestKind;

/**
 * Selects the engine that serves a request: by who may serve it, what it costs there, who has the prompt's prefix in its
 * cache, and who has capacity. It learns of engines from the control plane, and from the events of this node's own
 * requests. Thread safe; no method blocks.
 *
 * <pre>{@code
 * Selection selection = loadBalancer.select(request, nowMs);
 * if (selection instanceof SelectedEngine engine) {
 *     loadBalancer.onRequestSent(engine.id(), nowMs);
 *     ...
 *     loadBalancer.onAttemptEnded(engine.id(), request, AttemptOutcome.ANSWERED, firstMs, nowMs);
 * }
 * }</pre>
 */
public interface LoadBalancer {
    /** Value of a time to first byte in {@link #onAttemptEnded}: an idle connection had been closed by the peer. */
    long STALE_CONNECTION = -2;

    /**
     * A request that needs an engine.
     *
     * @param service name of the service that must serve it
     * @param allowedRegions regions whose engines may serve it
     * @param affinityKey hash of the shared prompt prefix; 0 if nothing is shared
     * @param sharedPrefixTokens tokens of the shared prefix, which an engine with the prefix in its cache need not read
     * @param uncachedTokens the other tokens of the prompt, which any engine must read
     * @param outputTokens expected tokens of the answer
     * @param excludedEngineIds engines that were attempted already
     * @param weightsVersion version of the model weights that the engine must run; below 0 if any will do
     * @param random uniformly distributed bits for breaking ties
     * @param preference what a serving rule says of the choice, or null
     * @param costWeights weights of the cost by which engines are compared
     */
    record SelectionRequest(
            String service,
            AllowedRegions allowedRegions,
            long affinityKey,
            int sharedPrefixTokens,
            int uncachedTokens,
            int outputTokens,
            Set<String> excludedEngineIds,
            long weightsVersion,
            long random,
            RoutingPreference preference,
            CostWeights costWeights) {
        /** Tokens that count as in flight at the engine while the request runs there. */
        int tokensInFlight() {
            return uncachedTokens + outputTokens;
        }

        /** The kind that load summaries count the request under. */
        RequestKind kind() {
            return RequestKind.of(uncachedTokens + sharedPrefixTokens, sharedPrefixTokens);
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
     * @param connectionLimit how many connections this node may hold to it
     */
    record SelectedEngine(String id, NodeId address, String zone, ConnectionLimit connectionLimit)
            implements Selection {}

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
    void updateConfiguration(FleetConfig configuration);

    /** This node's own settings changed. */
    void updateSettings(NodeConfig settings);

    /**
     * An engine reported of itself. A version that is not newer than the last one is ignored.
     *
     * @param nowMs steady time of this node, in ms; as in all methods, it may not go back
     */
    void updateEngine(String id, Engine report, long version, long nowMs);

    /**
     * An engine drains: it gets nothing new, and never will.
     *
     * @param removed whether it is gone for good, so that it is forgotten when its last request here has ended
     */
    void markDraining(String id, boolean removed, long nowMs);

    /** A zone was evacuated, or its evacuation was taken back, after which its engines warm up. */
    void setZoneEvacuated(String zone, boolean evacuated, long nowMs);

    /** Control nodes have not heard an engine's heartbeat for a while, or hear it again. */
    void setHeartbeatMissing(String id, boolean missing, long nowMs);

    /** Takes a lease from the control plane: how many nodes share the retry budget. */
    void updateLease(Lease lease, long nowMs);

    /** Takes what all nodes of the region saw, summed; it may come at any time, or never. */
    void updateRegionLoad(Load load, long nowMs);

    /** What this node saw of engines in its window, and what runs now. */
    LoadSummary summarizeLoad(long nowMs);

    /** The engines of a service whose turn it is in a rollout: they get nothing new, and warm up when they return. */
    void setEnginesInRollout(String service, Set<String> ids, long nowMs);

    /** Engines of a service that run that version of its software get nothing; empty for none. */
    void setExcludedSoftwareVersion(String service, String version);

    /** How many requests the engines of a service run at a time, of those that are in service now. */
    int capacityInService(String service);

    /** Selects an engine and counts the request as running there: {@link #onAttemptEnded} must follow. */
    Selection select(SelectionRequest request, long nowMs);

    /** The request went out to the engine. */
    void onRequestSent(String id, long nowMs);

    /** Bytes came from the engine. */
    void onResponseBytes(String id, long nowMs);

    /**
     * The attempt at an engine that {@link #select} returned is over.
     *
     * @param request the request as it was given to {@link #select}
     * @param firstMs time to the first byte, in ms; below 0 if none came, and {@link #STALE_CONNECTION} if none came because an idle
     *     connection had been closed by the peer, which says nothing of the engine
     */
    void onAttemptEnded(String id, SelectionRequest request, AttemptOutcome outcome, long firstMs, long nowMs);

    /** A client's request for a service came in, which earns a part of a retry. */
    void onRequestReceived(String service, long nowMs);

    /** Takes one retry of the service's budget on this node; false if none is left. */
    boolean tryAcquireRetry(String service, long nowMs);

    /** Health probes of ejected engines that are due; each is due again after a gap that grows. */
    List<HealthProbe> dueHealthProbes(long nowMs);

    /**
     * A health probe ended.
     *
     * @param healthy whether the engine answered that it serves
     * @param coldMs for how long the engine says it will warm up, in ms; 0 if it does not
     */
    void onHealthProbeResult(String id, boolean healthy, int coldMs, long nowMs);

    /**
     * What a node that watches this one wants to know.
     *
     * @param known engines in the table
     * @param ejected those that get nothing until a health probe succeeds
     * @param draining those that get nothing new
     * @param heartbeatMissing those that control nodes do not hear
     * @param ejections ejections since the start of the process
     * @param retriesGranted retries that the budget let go
     * @param retriesRefused retries that it did not
     */
    record Stats(
            int known,
            int ejected,
            int draining,
            int heartbeatMissing,
            long ejections,
            long retriesGranted,
            long retriesRefused) {}

    /** Figures of the table as it is now. */
    Stats stats();

    /** Ids of the engines that are known, for closing connections to all others. */
    Set<String> knownEngineIds();

    /** A load balancer that knows no engines yet. */
    static LoadBalancer create(NodeConfig settings) {
        return new EngineTableLoadBalancer(settings);
    }
}
