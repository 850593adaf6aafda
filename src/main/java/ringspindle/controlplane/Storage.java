package ringspindle.controlplane;

import java.util.Collection;
import java.util.List;
import ringspindle.protocol.Message.Fact;

/** The durable data of a control node. Thread safe. */
interface Storage {
    /** Returns the record log of the replicated control state. */
    RecordLog replication();

    /** Returns the record log of the replicated counters. */
    RecordLog counters();

    /** Returns the last cached engines, a hint for the time right after a start; empty if there are none. */
    List<Fact> cachedEngines();

    /** Caches the given engines without waiting for the disk. */
    void cacheEngines(Collection<Fact> engines);
}
