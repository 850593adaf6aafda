package ringspindle.storagenode;

import ringspindle.protocol.BatchMessage.ItemCancel;
import ringspindle.protocol.BatchMessage.ItemRun;
import ringspindle.protocol.NodeId;

/** Runs items at engines for the leaders of shards. */
interface ItemRunner {
    /** Begins to run an item; its end is told to the leader. */
    void run(NodeId leader, ItemRun run);

    /** A leader does not want a run any more. */
    void cancel(NodeId leader, ItemCancel cancel);

    /** The connection to a leader is gone, or a newer one stands in its place: all that it asked for ends. */
    void closed(NodeId leader);

    /** Requests that the engines of all batch routes run at a time. */
    int capacity();
}
