/**
 * Agreement on views: which nodes vote, which form the chain, and in which order.
 *
 * <p>{@link ringspindle.consensus.ViewConsensus} is the way in. It owns the view in force, what this voter has promised and
 * accepted, the proposal that this node may have under way, and what it knows of silent voters. A view is decided by
 * single-decree agreement (promise, then accept) of a majority of the voters of the view before.
 *
 * <p>The copy of the control state is not part of it. The agreement sees it through
 * {@link ringspindle.consensus.LocalState}, asks for messages and writes through {@link ringspindle.consensus.Effects}, and is
 * told of links through {@link ringspindle.consensus.Connectivity}; the owner of the state implements all three. There is no
 * clock, socket, disk or source of chance inside: time comes with each input, the random generator with the constructor.
 *
 * <p>Uses only {@code protocol}.
 */
package ringspindle.consensus;
