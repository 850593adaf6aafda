package ringspindle.retry;

/**
 * Retry settings of a route.
 *
 * @param repeatable whether the request may run more than once
 * @param resumable whether another engine may resume a stream after the last event that reached the client
 * @param maxAttempts maximum number of attempts sent to engines
 */
public record RetryPolicy(boolean repeatable, boolean resumable, int maxAttempts) {}
