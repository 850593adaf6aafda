package ringspindle.controlplane;

import java.util.ArrayList;
import java.util.List;
import ringspindle.protocol.Message;

/** The synced records of one simulated machine, for the processes that run there one after the other. */
public final class SimulatedDisk {
    final List<Message> replication = new ArrayList<>();
    final List<Message> counters = new ArrayList<>();
}
