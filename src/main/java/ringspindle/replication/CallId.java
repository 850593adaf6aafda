package ringspindle.replication;

import ringspindle.protocol.NodeId;

/**
 * Identifies a call by the node that received it from a client, and its number there.
 *
 * @param origin the node that answers the client
 * @param number unique among the origin's calls
 */
record CallId(NodeId origin, long number) {}
