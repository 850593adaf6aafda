/**
 * Carries clients' requests to engines and engines' answers to clients: admission, the wait for capacity, one attempt after
 * another, event streams, connections on both sides. It owns the state of each request under way (a {@code ProxiedRequest}
 * and its {@code ProxiedAttempt}s, guarded by the request's own lock), the connections to engines and the queue of requests
 * that wait. It uses loadbalancing for the choice of engines, retry for what follows an attempt, routing and config for what
 * is in force, and api, protocol, time and transport.
 */
package ringspindle.proxy;
