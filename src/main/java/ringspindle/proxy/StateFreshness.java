package ringspindle.proxy;

/** What a node's answers rest on, for log lines: {@code knowledge.describe()}. Asked with no lock held. */
@FunctionalInterface
public interface StateFreshness {
    /** How old the last word of a majority is, and which facts are known here and not in force. */
    String describe();
}
