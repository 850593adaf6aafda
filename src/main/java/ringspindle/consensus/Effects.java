package ringspindle.consensus;

import java.util.List;
import ringspindle.protocol.Message;
import ringspindle.protocol.NodeId;

/** What the agreement on views asks of the node it runs on. Calls return at once; nothing is sent or written in them. */
public interface Effects {
    /** Sends the message; one to this node itself is taken in behind the input at hand. */
    void send(NodeId to, Message message);

    /**
     * Appends the records to the disk and syncs them.
     *
     * @param whenSynced runs once they are synced; never if the process ends before
     */
    void append(List<Message> records, Runnable whenSynced);

    /** A number that this process has not used for another write or question. */
    long nextId();
}
