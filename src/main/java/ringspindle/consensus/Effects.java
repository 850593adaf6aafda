package ringspindle.consensus;

import java.util.List;
import ringspindle.protocol.Message;
import ringspindle.protocol.NodeId;

/** The side effects that view consensus requests from its node. Calls only queue the effect and return immediately. */
public interface Effects {
    /** Sends a message; one to this node itself is processed after the current input. */
    void send(NodeId to, Message message);

    /**
     * Appends the records to the log on disk and syncs them.
     *
     * @param whenSynced runs once the records are synced; never if the process ends first
     */
    void append(List<Message> records, Runnable whenSynced);
}
