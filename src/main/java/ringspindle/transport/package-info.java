/**
 * Messages between nodes over TCP: frames of four bytes of length and a message of {@code protocol}. Owns the connections
 * of its node, and the threads and timers of the process; what messages mean is its listener's.
 *
 * <p>May use {@code peering}, {@code protocol} and {@code time}; used by {@code controlplane}, {@code dataplane}, {@code proxy} and
 * {@code cli}.
 */
package ringspindle.transport;
