package ringspindle.proxy;

/** A connection to one engine, as the pool keeps it. Its mutable fields are the pool's. */
final class PooledConnection {
    /** What {@link #idledMs} says of a connection that was never idle. */
    static final long NEVER_IDLE = -1;

    private final EngineTransport.EngineConnection connection;
    private final String instanceId;
    /** When it became idle, on the steady clock. */
    long idleSinceMs;
    /** For how long it is trusted when idle. */
    long keepAliveMs;
    /** How long it was idle before it was acquired this time. */
    long idledMs = NEVER_IDLE;

    PooledConnection(EngineTransport.EngineConnection connection, String instanceId, long keepAliveMs) {
        this.connection = connection;
        this.instanceId = instanceId;
        this.keepAliveMs = keepAliveMs;
    }

    EngineTransport.EngineConnection connection() {
        return connection;
    }

    /** The engine that it leads to. */
    String instanceId() {
        return instanceId;
    }

    /** True if it carried a request before this one. */
    boolean isReused() {
        return idledMs >= 0;
    }
}
