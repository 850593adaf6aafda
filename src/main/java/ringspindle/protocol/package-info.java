/**
 * The messages of nodes and of disks, as types and as SBE bytes. {@link ringspindle.protocol.Message} holds the types; there
 * is one codec for each family of them: sessions, consensus, replication, operations, gossip, telemetry. Owns no state. The
 * bytes of a message never change; a test compares them with recorded ones.
 *
 * <p>Kinds are kept by their codes, so that those of a newer program are passed on as they came.
 *
 * <p>May use the classes generated from {@code wire.xml} and nothing else of this program; used by all that speak to nodes.
 */
package ringspindle.protocol;
