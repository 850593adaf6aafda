package ringspindle.controlplane.server;

/** Answers the HTTP calls of one resource. Thread safe. */
interface ApiResource {
    /** Answers a call, now or later, and exactly once. */
    void handle(ApiExchange exchange);
}
