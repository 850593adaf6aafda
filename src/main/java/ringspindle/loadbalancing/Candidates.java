package ringspindle.loadbalancing;

import java.util.List;

/**
 * Engines that one request may be sent to.
 *
 * @param healthy engines that may be selected, in the order of the table
 * @param permitted engines that the request allows, whatever their state; empty if the request has no preference
 * @param anyAvailable whether an engine is permitted and in service, ejected or not
 * @param anyReachable whether an engine that is not ejected is heard of
 * @param maxConnections how many connections this node may hold to one engine
 */
record Candidates(
        List<EngineEntry> healthy,
        List<EngineEntry> permitted,
        boolean anyAvailable,
        boolean anyReachable,
        int maxConnections) {
    /** True for an engine that a request may be sent to at once. */
    boolean isOpen(EngineEntry engine) {
        return !isPassedOver(engine) && engine.load().ownRunning() < maxConnections;
    }

    /** True for an engine that is not heard of while others are. */
    boolean isPassedOver(EngineEntry engine) {
        return anyReachable && !engine.isReachable();
    }
}
