/**
 * Connections between nodes, without sockets: which one stands for each peer, which addresses are being dialled, and whom a
 * control node dials. Owns no thread, clock or socket; its owners pass time and events and carry out what is decided.
 *
 * <p>May use {@code protocol}; used by {@code transport} and {@code controlplane}.
 */
package ringspindle.peering;
