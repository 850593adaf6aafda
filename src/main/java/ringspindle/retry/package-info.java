/**
 * Lifecycle of client requests: an action with its attempts as child scopes, its single atomic end, and the rule that
 * decides after each attempt whether to try another engine. The package owns the state of each action, has no access to
 * clocks, sockets or random numbers, and depends on no other package.
 */
package ringspindle.retry;
