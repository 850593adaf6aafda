package ringspindle.controlplane;

import java.util.Collection;
import java.util.List;
import ringspindle.protocol.Message.Fact;

/** What a control node keeps across restarts. Thread safe. */
interface Storage {
    /** Records of the replicated control state. */
    RecordLog replication();

    /** Records of the replicated counters. */
    RecordLog counters();

    /** The engines last cached, a hint for the time right after a start; empty if there is none. */
    List<Fact> cachedEngines();

    /** Caches the engines as they are now; never waits for the disk. */
    void cacheEngines(Collection<Fact> engines);
}
