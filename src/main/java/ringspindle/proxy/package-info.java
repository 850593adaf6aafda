/**
 * Proxies client requests to engines and engine responses to clients: admission, waiting for capacity, successive attempts,
 * event streams, and the connections on both sides. The package owns the state of each request in progress (a {@code
 * ProxiedRequest} and its {@code ProxiedAttempt}s, guarded by the request's lock), the engine connections and the queue of
 * waiting requests. It uses loadbalancing to select engines, retry to decide what follows an attempt, routing and config for
 * the configuration in force, and api, protocol, time and transport.
 */
package ringspindle.proxy;
