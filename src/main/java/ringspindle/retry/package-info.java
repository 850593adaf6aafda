/**
 * The design's core: a client's request as one action with attempts as its child scopes, one atomic end, and the rule that
 * decides after each attempt whether another engine may be tried. It owns the state of each action; it knows no clock,
 * socket or chance, and uses no other package.
 */
package ringspindle.retry;
