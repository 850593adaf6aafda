/**
 * Who is there: sessions with other nodes as their heartbeats prove them, and data nodes as facts. Owns the sessions of its
 * node; has no clock and no socket, its owner passes the time and drops connections.
 *
 * <p>May use {@code protocol}; used by {@code controlplane} and {@code dataplane}.
 */
package ringspindle.membership;
