package ringspindle.proxy;

/** A connection to one engine with the state that the pool keeps for it. Its mutable fields are owned by the pool. */
final class PooledConnection {
    /** Value of {@link #idleMs} for a connection that was never idle. */
    static final long NEVER_IDLE = -1;

    private final EngineTransport.EngineConnection connection;
    private final String instanceId;
    /** When it became idle, in ms of the monotonic clock. */
    long idleSinceMs;
    /** How long it may be idle and still be reused. */
    long keepAliveMs;
    /** How long it had been idle when it was last acquired. */
    long idleMs = NEVER_IDLE;

    PooledConnection(EngineTransport.EngineConnection connection, String instanceId, long keepAliveMs) {
        this.connection = connection;
        this.instanceId = instanceId;
        this.keepAliveMs = keepAliveMs;
    }

    EngineTransport.EngineConnection connection() {
        return connection;
    }

    /** Returns the instance id of the engine that it is connected to. */
    String instanceId() {
        return instanceId;
    }

    /** Returns true if it carried an earlier request. */
    boolean isReused() {
        return idleMs >= 0;
    }
}
