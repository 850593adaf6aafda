package ringspindle.retry;

/**
 * What may be tried again, from the route.
 *
 * @param repeatable the request may run more than once
 * @param resumable a stream may go on at another engine behind the last event that reached the client
 * @param maxAttempts the most engines that may get the request
 */
public record RetryPolicy(boolean repeatable, boolean resumable, int maxAttempts) {}
