package ringspindle.controlplane.server;

/** Handles HTTP requests for one resource. Thread safe. */
interface ApiResource {
    /** Handles a request and responds exactly once, now or later. */
    void handle(ApiExchange exchange);
}
