package ringspindle.replication;

import ringspindle.protocol.NodeId;

/**
 * Which call: the node that took it from a caller, and its number there.
 *
 * @param origin the node that tells the caller
 * @param number unique among the origin's calls
 */
record CallId(NodeId origin, long number) {}
