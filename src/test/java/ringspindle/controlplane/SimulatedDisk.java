package ringspindle.controlplane;

import java.util.ArrayList;
import java.util.List;
import ringspindle.protocol.Message;

/** The synced records of one simulated machine, shared by the processes that run on it one after another. */
public final class SimulatedDisk {
    final List<Message> replication = new ArrayList<>();
    final List<Message> counters = new ArrayList<>();
}
