package ringspindle.proxy;

/** Describes for log lines how current the node's replicated state is. Called without any lock held. */
@FunctionalInterface
public interface StateFreshness {
    /** Returns the age of the last majority-confirmed state and the facts known here that are not in force. */
    String describe();
}
